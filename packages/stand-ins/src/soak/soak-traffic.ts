/**
 * Callers of a soak: they keep connections, and compare every answer with what the endpoints must have made.
 */
import { Agent } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import type { RandomSource } from '@clementineloft/kernel'
import { computeBody, computeEvent } from '../emulator/emulated-call.js'
import { sendCall } from '../emulator/emulated-caller.js'
import type { CallerAnswer } from '../emulator/emulated-caller.js'
import { emulatedHost, emulatedKeys } from '../emulator/emulated-platform.js'
import type { EmulatedPlatform } from '../emulator/emulated-platform.js'
import { emulatedModel } from '../emulator/emulated-worker.js'

/** Kinds of calls. */
export const SoakCall = { stream: 'stream', booking: 'booking', lookUp: 'look-up' } as const
export type SoakCall = typeof SoakCall[keyof typeof SoakCall]

const patienceMs: Record<SoakCall, number> = { [SoakCall.stream]: 8000, [SoakCall.booking]: 1500, [SoakCall.lookUp]: 1500 }
const succeeded = 200
const refusedStatuses = new Set([429, 503])
const pauseMs = 25
/** Part of the streams whose callers leave early. */
const leavingShare = 0.1
const leavesAfterMs = 150

const formatEvents = (target: string, body: string): string =>
  Array.from({ length: emulatedModel.events }, (_, index) => computeEvent({ target, body }, index + 1)).join('')

/** Sends calls to all entries, and notes what was promised and not kept. */
export class SoakTraffic {
  readonly broken: string[] = []
  readonly counts = new Map<string, number>()
  private readonly agent = new Agent({ keepAlive: true })
  private readonly bookings: CallerAnswer[] = []
  private readonly pending = new Set<Promise<unknown>>()
  private sent = 0

  constructor (
    private readonly platform: EmulatedPlatform,
    private readonly entries: number,
    private readonly random: RandomSource
  ) {}

  /** Sends calls of all kinds at a steady pace for a time, and waits for their ends. */
  async run (durationMs: number): Promise<void> {
    const endMs = Date.now() + durationMs
    while (Date.now() < endMs) {
      const kind = Object.values(SoakCall)[this.sent % Object.values(SoakCall).length] as SoakCall
      const leaves = kind === SoakCall.stream && this.random.next() < leavingShare
      const call = this.send(kind, 1 + this.sent % this.entries, leaves)
      this.pending.add(call)
      void call.finally(() => { this.pending.delete(call) })
      await wait(pauseMs)
    }
    await Promise.all(this.pending)
  }

  /** Sends one call and checks its answer. @returns its status, 0 if no answer came */
  async send (kind: SoakCall, entry: number, leaves = false): Promise<number> {
    const name = `${kind}-${++this.sent}`
    const path = { [SoakCall.stream]: 'streams', [SoakCall.booking]: 'bookings', [SoakCall.lookUp]: 'lookups' }[kind]
    const target = `/${path}/${name}`
    const method = kind === SoakCall.lookUp ? 'GET' : 'POST'
    const body = kind === SoakCall.lookUp ? '' : name
    const startedMs = Date.now()
    const answer = await sendCall({
      address: this.platform.getEntryAddress(entry),
      host: emulatedHost,
      key: emulatedKeys.prairie,
      agent: this.agent,
      target,
      method,
      body,
      timeoutMs: patienceMs[kind],
      ...(kind === SoakCall.stream ? { headers: { 'token-usage': '100,60' } } : {}),
      ...(leaves ? { disconnectAfterMs: leavesAfterMs } : {})
    })
    const outcome = `${kind} ${answer.status}${answer.status === succeeded && !answer.isComplete ? ' cut' : ''}`
    this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1)
    const expected = kind === SoakCall.stream ? formatEvents(target, body) : computeBody({ method, target, body })
    this.checkAnswer(name, answer, expected, Date.now() - startedMs)
    if (kind === SoakCall.booking) this.bookings.push(answer)
    return answer.status
  }

  /** Compares what callers of bookings were told with what has run; called when nothing runs any more. */
  checkBookings (): void {
    const runs = new Map<string, number>()
    for (const id of this.platform.services.flatMap((service) => service.runs)) runs.set(id, (runs.get(id) ?? 0) + 1)
    for (const { id, status } of this.bookings) {
      const count = runs.get(id) ?? 0
      if (count > 1) this.broken.push(`booking ${id} ran ${count} times`)
      if (refusedStatuses.has(status) && count > 0) this.broken.push(`booking ${id} was refused with ${status} and ran`)
      if (status === succeeded && count === 0) this.broken.push(`booking ${id} was answered and did not run`)
    }
  }

  /** Closes the connections. */
  close (): void {
    this.agent.destroy()
  }

  private checkAnswer (name: string, answer: CallerAnswer, expected: string, tookMs: number): void {
    if (answer.status !== succeeded) return
    if (!expected.startsWith(answer.body)) this.broken.push(`${name} got other bytes than its endpoint made: ${answer.body.slice(0, 80)}`)
    if (answer.isComplete && answer.body !== expected) this.broken.push(`${name} looks whole with ${answer.body.length} of ${expected.length} bytes after ${tookMs} ms`)
  }
}
