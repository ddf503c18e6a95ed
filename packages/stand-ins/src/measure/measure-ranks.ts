/**
 * Measures which ranks are served in bursts that exceed the capacity, with and without admission by rank across entries.
 */
import { RankReplay } from '../replay/rank-replay.js'
import type { MeasuredTable } from './table.js'

const seed = 7
const entryCounts = [8, 50, 395]
const loads = [0.9, 1.3]
const percent = 100

/** @returns share of calls served by rank, less urgent calls started before urgent ones, and use of the capacity */
export const measureRanks = (): MeasuredTable => {
  const rows: string[][] = []
  for (const entries of entryCounts) {
    for (const load of loads) {
      for (const hasLevel of [false, true]) {
        const { arrived, served, inversions, usedRatio } = new RankReplay({ entries, load, hasLevel, seed }).run()
        const shares = served.map((count, rank) => (percent * count / (arrived[rank] as number)).toFixed(1))
        rows.push([String(entries), `${Math.round(load * percent)}%`, hasLevel ? 'yes' : 'no', ...shares, String(inversions), (percent * usedRatio).toFixed(1)])
      }
    }
  }
  return {
    title: 'Bursts of the least urgent rank (2.5 times its usual load for 5 s), then of the most urgent one (1.9 times for 4 s)',
    note: `Replay without a network, seed ${seed}: 16 s, entries with random shares of each rank (30%, 40% and 30% of the load), reports 300 ms apart and up to 500 ms old.`,
    columns: ['entries', 'usual load', 'level', 'rank 0 served, %', 'rank 1 served, %', 'rank 2 served, %', 'starts while a more urgent call waited', 'capacity used in the bursts, %'],
    rows
  }
}
