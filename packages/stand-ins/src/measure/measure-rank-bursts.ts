/**
 * Measures who is served when callers of several ranks compete: a burst of the least urgent rank is followed by one of the
 * most urgent, at several numbers of entries that share the fleet.
 */
import { engine } from '@clementineloft/routing/test-fleet'
import { createLeastCostFactory, createMixedFleet } from '../replay/mixed-fleet.js'
import { WaitBriefly, WaitFixedTime } from '../replay/overload-policy.js'
import type { OverloadPolicy } from '../replay/overload-policy.js'
import { createRankBursts, rankLoads, seconds, stayMs } from '../replay/rank-bursts.js'
import { ReplayRun } from '../replay/replay-run.js'
import type { RankResult } from '../replay/replay-load.js'
import { computeQuantile, formatShare } from './table.js'
import type { MeasuredTable } from './table.js'

const seed = 11
const entryCounts = [8, 50, 395]

const policies: Array<[string, OverloadPolicy]> = [
  ['waits up to 1.5 s, new calls overtake', new WaitFixedTime()],
  ['waits while of use, in order (ours)', new WaitBriefly()]
]

const formatRank = ({ arrived, served, refused, refusedAgain, left, firstEventMs }: RankResult): string[] => [
  String(arrived), formatShare(served, arrived), formatShare(refused, arrived), formatShare(refusedAgain, arrived), formatShare(left, arrived),
  computeQuantile(firstEventMs, 0.5).toFixed(0), computeQuantile(firstEventMs, 0.95).toFixed(0)
]

/** Measures bursts of ranks. */
export const measureRankBursts = (): MeasuredTable => {
  const { endpoints, bound } = createMixedFleet()
  const rows = entryCounts.flatMap((entries) => policies.flatMap(([name, overload]) => {
    const load = createRankBursts(bound, entries)
    const { byRank } = new ReplayRun(endpoints, engine, load, { createPlacement: createLeastCostFactory(entries), overload }, seed).run()
    return [...byRank].sort(([a], [b]) => a - b).map(([rank, result]) => [String(entries), name, String(rank), ...formatRank(result)])
  }))
  return {
    title: 'Overload of the mixed fleet: a burst of the least urgent rank, then one of the most urgent',
    note: `The fleet of the table above, ${seconds} s. Usual load of ranks 0, 1 and 2: ${rankLoads.map(({ share }) => share).join(', ')} of the bound; rank 2 at 2.5 times from second 4 to 13, rank 0 at 1.9 times from 12 to 20. Entries know only their own queues. Callers leave after ${stayMs} ms without an event; refused callers return once, at a random entry. Seed ${seed}.`,
    columns: ['entries', 'policy', 'rank', 'arrived', 'served', 'refused', 'refused again', 'left', 'first event p50 ms', 'p95 ms'],
    rows
  }
}
