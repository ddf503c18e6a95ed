/**
 * Compares choices of the endpoint of a call from old load information.
 */
import { EstimatedPairBalance, PerfectBalance, RandomBalance, ReportedBalance, RouterBalance } from '../replay/balance-policy.js'
import type { BalanceFactory } from '../replay/balance-policy.js'
import { ArrivalPattern, BalanceReplay } from '../replay/balance-replay.js'
import type { BalanceLoad, BalanceResult } from '../replay/balance-replay.js'
import { computeQuantile } from './table.js'
import type { MeasuredTable } from './table.js'

const seed = 11
const share = 0.8

const policies: Record<string, BalanceFactory> = {
  'least by last report': (_clock, random) => new ReportedBalance(random, false),
  random: (_clock, random) => new RandomBalance(random),
  'better of two': (_clock, random) => new ReportedBalance(random, true),
  'estimate, sample of two': (clock, random) => new EstimatedPairBalance(clock, random)
}

/** Load that comes with answers is what the router's choice is made for; other endpoints send reports. */
const listPolicies = (load: BalanceLoad): Record<string, BalanceFactory> =>
  load.reportMs > 0 ? policies : { ...policies, 'estimate, sample by confidence (ours)': (clock, random) => new RouterBalance(clock, random) }

const createPerfect: BalanceFactory = (_clock, random, getLoad) => new PerfectBalance(random, getLoad)

/** Calls of a plain service, of which answers carry the load. */
const plain = { slots: 6, callMs: [20, 45], reportMs: 0, share, pattern: ArrivalPattern.constant } as const
/** Streams of model endpoints, which report at intervals. */
const streams = { slots: 20, callMs: [600, 1800], reportMs: 300, share, pattern: ArrivalPattern.constant } as const
const seconds = 6

const loads: Record<string, BalanceLoad> = Object.fromEntries([
  ...[1, 8, 50, 395].map((entries) => ({ ...plain, endpoints: 3, entries, seconds: 20 })),
  ...[1, 8, 50, 395].map((entries) => ({ ...plain, endpoints: 3, entries, seconds: 20, speeds: [1] })),
  ...[ArrivalPattern.wave, ArrivalPattern.burst].map((pattern) => ({ ...plain, endpoints: 3, entries: 50, pattern, seconds: 20 })),
  ...[8, 50, 395].map((entries) => ({ ...plain, endpoints: 58, entries, seconds: 3 })),
  { ...plain, endpoints: 3, entries: 50, seconds: 20, lostShare: 0.5 },
  { ...plain, endpoints: 3, entries: 50, seconds: 20, speeds: [1], isFirstFalse: true },
  ...[50, 300, 500, 2000].map((reportMs) => ({ ...plain, endpoints: 3, entries: 50, reportMs, seconds: 20 })),
  ...[8, 50, 395].map((entries) => ({ ...streams, endpoints: 3, entries, seconds: 20 })),
  ...[50, 300, 500, 2000].map((reportMs) => ({ ...streams, endpoints: 58, entries: 50, reportMs, seconds })),
  ...[8, 395].map((entries) => ({ ...streams, endpoints: 58, entries, seconds })),
  ...[ArrivalPattern.wave, ArrivalPattern.burst].map((pattern) => ({ ...streams, endpoints: 58, entries: 50, pattern, seconds })),
  { ...streams, endpoints: 58, entries: 50, seconds, lostShare: 0.5 },
  ...[50, 395].map((entries) => ({ ...streams, endpoints: 650, entries, seconds: 3 }))
].map((load) => [describeLoad(load), load]))

function describeLoad ({ endpoints, entries, reportMs, pattern, callMs, lostShare, speeds, isFirstFalse }: BalanceLoad): string {
  const source = reportMs === 0 ? 'answers' : `reports every ${reportMs} ms`
  return `${endpoints} by ${entries}, ${callMs[0]} to ${callMs[1]} ms, ${source}${lostShare === undefined ? '' : ', half lost'}${isFirstFalse === true ? ', one false' : ''}${speeds === undefined ? '' : ', one speed'}, ${pattern}`
}

const formatExcess = (result: BalanceResult, perfect: BalanceResult): string[] => {
  const excess = result.highestLoads.map((load, index) => Math.max(0, load - (perfect.highestLoads[index] as number)))
  const mean = excess.reduce((sum, value) => sum + value, 0) / excess.length
  return [mean.toFixed(2), Math.max(...excess).toFixed(2)]
}

const formatResult = (result: BalanceResult): string[] => [
  `${(100 * result.unevenShare).toFixed(1)}%`, computeQuantile(result.waitMs, 0.5).toFixed(0), computeQuantile(result.waitMs, 0.99).toFixed(0)
]

/** Measures the balance under each policy. */
export const measureBalance = (): MeasuredTable => {
  const rows = Object.entries(loads).flatMap(([name, load]) => {
    const perfect = new BalanceReplay(load, createPerfect, seed).run()
    const others = Object.entries(listPolicies(load)).map(([policy, createPolicy]) => {
      const result = new BalanceReplay(load, createPolicy, seed).run()
      return [name, policy, ...formatExcess(result, perfect), ...formatResult(result)]
    })
    return [...others, [name, 'perfect knowledge', '0', '0', ...formatResult(perfect)]]
  })
  return {
    title: 'Balance: endpoints chosen from old load information',
    note: `Endpoints by entries; endpoints of three speeds (1, 1.5 and 2.2 times the time), 6 slots each for calls of 20 to 45 ms and 20 for streams of 600 to 1800 ms; ${100 * share}% of the capacity offered. Excess: load per slot of the most loaded endpoint beyond that under perfect knowledge at the same time. Uneven: time during which an endpoint is full while another of its speed has a third of its slots free. Seed ${seed}.`,
    columns: ['load', 'choice', 'excess, mean', 'greatest', 'uneven', 'wait p50 ms', 'p99 ms'],
    rows
  }
}
