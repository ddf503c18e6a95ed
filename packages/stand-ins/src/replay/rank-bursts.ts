/**
 * Builds a load in which callers of three ranks compete: a burst of the least urgent rank is followed by one of the most
 * urgent, together above what the mixed fleet can serve.
 */
import type { ReplayLoad } from './replay-load.js'

/** Length of the load, in seconds. */
export const seconds = 24
/** Time without an event after which callers leave, in milliseconds. */
export const stayMs = 2000

/** Load of one rank: its usual rate as a fraction of the flow bound, and its burst. */
export interface RankLoad {
  share: number
  burst: number
  from: number
  to: number
}

/** Loads of the ranks, the most urgent first. */
export const rankLoads: RankLoad[] = [
  { share: 0.12, burst: 1.9, from: 12, to: 20 },
  { share: 0.06, burst: 1, from: 0, to: 0 },
  { share: 0.12, burst: 2.5, from: 4, to: 13 }
]

const getShare = (second: number, rank: number): number => {
  const { share, burst, from, to } = rankLoads[rank] as RankLoad
  return second >= from && second < to ? share * burst : share
}

/**
 * @param bound - streams per second that the fleet can serve at most
 * @param entries - number of entries that share the fleet
 */
export const createRankBursts = (bound: number, entries: number): ReplayLoad => ({
  seconds, entries, stayMs, teams: ['one', 'two', 'three'], ranks: [...rankLoads.keys()], getRate: (second, rank) => bound * getShare(second, rank)
})
