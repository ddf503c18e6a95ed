/**
 * Keeps what sidecars have last said about the calls that wait in all entries.
 *
 * Sums of one sidecar lack the entries that cannot reach it, and those of a sidecar that has just started lack nearly all of
 * them. So the greatest sums of the last three intervals count, which cover at least one report of every sidecar. If no report
 * came in that time, the last ones count until they are {@link maxSumsAgeMs} old.
 */
import type { Clock } from '@clementineloft/kernel'
import { mergeGreatest, addRankLoads } from './rank-load.js'
import type { RankLoad } from './rank-load.js'

/** Length of an interval, in milliseconds. Three of them are one and a half times the time between two reports. */
const intervalMs = 150
const intervalCount = 3
/** Age at which sums expire, in milliseconds. */
export const maxSumsAgeMs = 2500

interface Interval {
  number: number
  loads: RankLoad[]
  atMs: number
}

/** Sums that one entry has received. */
export class RecentSums {
  private intervals: Interval[] = []

  constructor (private readonly clock: Clock) {}

  /** Records the sums in a report. */
  record (loads: readonly RankLoad[]): void {
    const atMs = this.clock.now()
    const number = Math.floor(atMs / intervalMs)
    const bounded = addRankLoads(loads)
    const last = this.intervals.at(-1)
    if (last?.number === number) {
      last.loads = mergeGreatest(last.loads, bounded)
      last.atMs = atMs
      return
    }
    this.intervals = [...this.intervals.filter((interval) => interval.number > number - intervalCount), { number, loads: bounded, atMs }]
  }

  /** @returns the greatest of the recent sums, most urgent rank first; empty if they have expired or none waits */
  list (): RankLoad[] {
    const nowMs = this.clock.now()
    const last = this.intervals.at(-1)
    if (last === undefined || nowMs - last.atMs >= maxSumsAgeMs) return []
    const oldest = Math.floor(nowMs / intervalMs) - intervalCount
    const recent = this.intervals.filter((interval) => interval.number > oldest)
    return (recent.length === 0 ? [last] : recent).reduce<RankLoad[]>((merged, { loads }) => mergeGreatest(merged, loads), [])
  }
}
