/**
 * Measures store writes and the wait before a call for several strategies of at-most-once execution.
 */
import { absentVersion, ClaimRange } from '@clementineloft/coordination'
import { computeHash32, ManualClock } from '@clementineloft/kernel'
import { DelayedStore } from './delayed-store.js'
import { computeQuantile } from './table.js'
import type { MeasuredTable } from './table.js'

const callsPerSecond = 1000
const seconds = 10
const storeDelayMs = 5
const answer = { status: 201, headers: ['content-type', 'application/json'], body: 'eyJudW1iZXIiOjEyMzQ1Nn0=' }

interface ClaimCost {
  writesPerSecond: number
  bytesPerSecond: number
  waitP95Ms: number
}

type ClaimKey = (key: string) => Promise<void>

/** Claims keys at a constant rate and measures the time until each call may run. */
const runCalls = async (clock: ManualClock, store: DelayedStore, claim: ClaimKey): Promise<ClaimCost> => {
  const waits: number[] = []
  const calls: Array<Promise<void>> = []
  for (let index = 0; index < callsPerSecond * seconds; index++) {
    const startedMs = clock.now()
    calls.push(claim(`key-${index}`).then(() => { waits.push(clock.now() - startedMs) }))
    await clock.advanceGradually(1000 / callsPerSecond, 1)
  }
  await clock.advanceGradually(2000, 1)
  await Promise.all(calls)
  return {
    writesPerSecond: store.calls.put / seconds,
    bytesPerSecond: store.writtenBytes / seconds,
    waitP95Ms: computeQuantile(waits, 0.95)
  }
}

const measureCreates = async (): Promise<ClaimCost> => {
  const clock = new ManualClock()
  const store = new DelayedStore(clock, storeDelayMs)
  return await runCalls(clock, store, async (key) => {
    const version = await store.put(key, JSON.stringify({ key }), absentVersion)
    void store.put(key, JSON.stringify({ key, answer }), version)
  })
}

const measureRanges = async (owners: number, writeIntervalMs: number): Promise<ClaimCost> => {
  const clock = new ManualClock()
  const store = new DelayedStore(clock, storeDelayMs)
  const ranges = Array.from({ length: owners }, (_, index) => new ClaimRange<typeof answer>(store, `claims/${index}`, clock, {
    holder: `owner-${index}`, incarnation: `owner-${index}`, retentionMs: 3_600_000, writeIntervalMs
  }))
  return await runCalls(clock, store, async (key) => {
    const range = ranges[computeHash32(key) % owners] as ClaimRange<typeof answer>
    await range.claim(key, 'fingerprint')
    range.recordAnswer(key, answer)
  })
}

/** Measures all strategies at the same call rate. */
export const measureClaims = async (): Promise<MeasuredTable> => {
  const strategies: Array<[string, ClaimCost]> = [
    ['one create and one update for each call', await measureCreates()],
    ['16 key ranges, a write every 5 ms at most', await measureRanges(16, 5)],
    ['16 key ranges, a write every 80 ms at most (ours)', await measureRanges(16, 80)],
    ['4 key ranges, a write every 20 ms at most', await measureRanges(4, 20)]
  ]
  return {
    title: 'At most once: store writes',
    note: `${callsPerSecond} calls a second for ${seconds} s, a store that takes ${storeDelayMs} ms, manual clock. The limit is several hundred writes a second.`,
    columns: ['strategy', 'writes/s', 'kB/s written', 'p95 wait for the claim, ms'],
    rows: [
      ...strategies.map(([name, figures]) => [name, figures.writesPerSecond.toFixed(0), (figures.bytesPerSecond / 1000).toFixed(0), figures.waitP95Ms.toFixed(0)]),
      ['tickets', 0, 0, 0]
    ]
  }
}
