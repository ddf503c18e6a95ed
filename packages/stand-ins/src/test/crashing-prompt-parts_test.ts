/**
 * Guards against a part of the prompt that crashes each endpoint that begins to answer on it: no two of the calls with it are
 * alike, so that nothing related one crash to the next.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { sendCall } from '../emulator/emulated-caller.js'
import type { CallerAnswer } from '../emulator/emulated-caller.js'
import { emulatedHost, emulatedKeys, EmulatedPlatform } from '../emulator/emulated-platform.js'

/** Time after the fifth crash from which the bound on runs holds, in milliseconds; twice that for sound calls. */
const contactMs = 3000
/** Maximum number of runs after that time. */
const maxLaterRuns = 3
const boundedCrashes = 5
/** Minimum fraction of sound calls that are answered from twice that time on. */
const minServedRatio = 0.5
const minSoundCalls = 20
const entryCount = 3
const tickMs = 120
const ticks = 140
const deadlyPart = 'dead01'
const commonPart = 'aaaa01'

/** Sends a stream whose prompt begins with the shared parts; its content and last part are its own. */
const sendStream = async (platform: EmulatedPlatform, number: number, name: string, sharedParts: readonly string[]): Promise<CallerAnswer> =>
  await sendCall({
    address: platform.getEntryAddress(1 + number % entryCount),
    host: emulatedHost,
    target: `/streams/${name}`,
    key: emulatedKeys.prairie,
    body: `${name}-${number}`,
    headers: { 'token-usage': '100,60', 'prompt-prefix': [...sharedParts, `${name}${number}`].map((id) => `${id}:40`).join(',') },
    timeoutMs: 8000
  })

/** Counts the runs of the deadly calls over time. */
class RunLog {
  private readonly counts: Array<{ atMs: number, runs: number }> = []

  constructor (
    private readonly platform: EmulatedPlatform,
    private readonly ids: ReadonlySet<string>
  ) {}

  record (): void {
    const runs = this.platform.workers.flatMap((worker) => worker.runs).filter((id) => this.ids.has(id)).length
    this.counts.push({ atMs: performance.now(), runs })
  }

  /** @returns time of the fifth crash, or of the last one if there are fewer */
  findCrashMs (): number {
    const bounded = this.counts.find(({ runs }) => runs >= boundedCrashes)
    const last = this.counts.find(({ runs }) => runs === this.count())
    return (bounded ?? last)?.atMs ?? 0
  }

  count (): number {
    return this.counts.at(-1)?.runs ?? 0
  }

  countSince (ms: number): number {
    return this.count() - (this.counts.findLast(({ atMs }) => atMs <= ms)?.runs ?? 0)
  }
}

/** Sends calls with the deadly part beside sound ones with the same first part, and checks the bounds. */
const checkDay = async (platform: EmulatedPlatform): Promise<void> => {
  platform.fleet.crashTriggers.parts.add(deadlyPart)
  const deadlyIds = new Set<string>()
  const runLog = new RunLog(platform, deadlyIds)
  const sound: Array<{ sentMs: number, answer: CallerAnswer }> = []
  const calls: Array<Promise<void>> = []
  for (let tick = 0; tick < ticks; tick++) {
    const sentMs = performance.now()
    calls.push(
      sendStream(platform, tick, 'deadly', [commonPart, deadlyPart]).then((answer) => { deadlyIds.add(answer.id) }),
      sendStream(platform, tick + 1, 'sound', [commonPart]).then((answer) => { sound.push({ sentMs, answer }) })
    )
    await wait(tickMs)
    runLog.record()
  }
  await Promise.all(calls)
  runLog.record()
  const crashMs = runLog.findCrashMs()
  const laterRuns = runLog.countSince(crashMs + contactMs)
  const laterSound = sound.filter(({ sentMs }) => sentMs > crashMs + 2 * contactMs)
  const served = laterSound.filter(({ answer }) => answer.status === 200 && answer.isComplete).length
  const logs = `logs in ${platform.processes.folder}`
  assert.ok(laterRuns <= maxLaterRuns, `${laterRuns} runs later than ${contactMs} ms after the fifth crash, ${runLog.count()} in all; ${served} of ${laterSound.length} sound calls served; ${logs}`)
  assert.ok(laterSound.length >= minSoundCalls, `only ${laterSound.length} sound calls to judge by, after ${runLog.count()} runs; ${logs}`)
  assert.ok(served >= laterSound.length * minServedRatio, `${served} of ${laterSound.length} sound calls served after ${runLog.count()} runs; ${logs}`)
}

test('a prompt part that crashes endpoints is not sent to endpoint after endpoint, and calls that share the rest are served', async () => {
  const platform = new EmulatedPlatform({ network: '127.74', entries: entryCount, workers: 8, services: 1 })
  try {
    await platform.start()
    await checkDay(platform)
  } finally {
    await platform.stop()
  }
})

test('a prompt part that crashes the last endpoint of each path is found too, although the first one goes on', async () => {
  const platform = new EmulatedPlatform({ network: '127.75', entries: entryCount, workers: 12, services: 1, workerTypes: ['small'] })
  platform.fleet.crashTriggers.concernsLastPart = true
  try {
    await platform.start()
    await checkDay(platform)
  } finally {
    await platform.stop()
  }
})
