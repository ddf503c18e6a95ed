/**
 * Traffic of a soak: sends calls over keep-alive connections and compares every answer with the expected one, which the
 * call determines.
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

const callTimeoutsMs: Record<SoakCall, number> = { [SoakCall.stream]: 8000, [SoakCall.booking]: 1500, [SoakCall.lookUp]: 1500 }
const successStatus = 200
const refusedStatuses = new Set([429, 503])
const sendIntervalMs = 25
/** Fraction of streams whose callers disconnect early. */
const disconnectingFraction = 0.1
const disconnectAfterMs = 150

const formatEvents = (target: string, body: string): string =>
  Array.from({ length: emulatedModel.events }, (_, index) => computeEvent({ target, body }, index + 1)).join('')

/** Sends calls to all entries, and records violated guarantees. */
export class SoakTraffic {
  readonly violations: string[] = []
  readonly outcomeCounts = new Map<string, number>()
  private readonly agent = new Agent({ keepAlive: true })
  private readonly bookings: CallerAnswer[] = []
  private readonly pendingCalls = new Set<Promise<unknown>>()
  private sentCount = 0

  constructor (
    private readonly platform: EmulatedPlatform,
    private readonly entries: number,
    private readonly random: RandomSource
  ) {}

  /** Sends calls of all kinds at a steady rate for a duration, and waits until all have ended. */
  async run (durationMs: number): Promise<void> {
    const deadlineMs = Date.now() + durationMs
    while (Date.now() < deadlineMs) {
      const kind = Object.values(SoakCall)[this.sentCount % Object.values(SoakCall).length] as SoakCall
      const disconnects = kind === SoakCall.stream && this.random.next() < disconnectingFraction
      const call = this.send(kind, 1 + this.sentCount % this.entries, disconnects)
      this.pendingCalls.add(call)
      void call.finally(() => { this.pendingCalls.delete(call) })
      await wait(sendIntervalMs)
    }
    await Promise.all(this.pendingCalls)
  }

  /** Sends one call and checks its answer. @returns its status, 0 if no answer arrived */
  async send (kind: SoakCall, entry: number, disconnects = false): Promise<number> {
    const name = `${kind}-${++this.sentCount}`
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
      timeoutMs: callTimeoutsMs[kind],
      ...(kind === SoakCall.stream ? { headers: { 'token-usage': '100,60' } } : {}),
      ...(disconnects ? { disconnectAfterMs } : {})
    })
    const outcome = `${kind} ${answer.status}${answer.status === successStatus && !answer.isComplete ? ' cut' : ''}`
    this.outcomeCounts.set(outcome, (this.outcomeCounts.get(outcome) ?? 0) + 1)
    const expected = kind === SoakCall.stream ? formatEvents(target, body) : computeBody({ method, target, body })
    this.checkAnswer(name, answer, expected, Date.now() - startedMs)
    if (kind === SoakCall.booking) this.bookings.push(answer)
    return answer.status
  }

  /** Compares the answers to bookings with the executed calls; must be called after all calls have ended. */
  checkBookings (): void {
    const runs = new Map<string, number>()
    for (const id of this.platform.services.flatMap((service) => service.runs)) runs.set(id, (runs.get(id) ?? 0) + 1)
    for (const { id, status } of this.bookings) {
      const count = runs.get(id) ?? 0
      if (count > 1) this.violations.push(`booking ${id} was executed ${count} times`)
      if (refusedStatuses.has(status) && count > 0) this.violations.push(`booking ${id} was refused with ${status} but executed`)
      if (status === successStatus && count === 0) this.violations.push(`booking ${id} was answered with success but not executed`)
    }
  }

  /** Closes all connections. */
  close (): void {
    this.agent.destroy()
  }

  private checkAnswer (name: string, answer: CallerAnswer, expected: string, tookMs: number): void {
    if (answer.status !== successStatus) return
    if (!expected.startsWith(answer.body)) this.violations.push(`${name} received bytes that its endpoint did not send: ${answer.body.slice(0, 80)}`)
    if (answer.isComplete && answer.body !== expected) this.violations.push(`${name} was reported as complete with ${answer.body.length} of ${expected.length} bytes after ${tookMs} ms`)
  }
}
