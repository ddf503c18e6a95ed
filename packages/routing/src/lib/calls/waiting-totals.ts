/**
 * Adds up the calls that wait in all entries, as one sidecar hears of them.
 *
 * Addresses entries that do not know each other: each sidecar hears every entry once a second and repeats the sums to all. An
 * entry that is killed or cut off leaves the sums after {@link waitingTtlMs}.
 */
import type { Clock } from '@clementineloft/kernel'
import { addRankLoads } from './rank-load.js'
import type { RankLoad } from './rank-load.js'

/** Time for which the calls of an entry count after its last request, in milliseconds: one request in a row may be lost. */
export const waitingTtlMs = 2500

/** Waiting calls by entry. */
export class WaitingTotals {
  private readonly waitingByEntry = new Map<string, { loads: readonly RankLoad[], atMs: number }>()
  private lastWaitingMs = -Infinity

  constructor (private readonly clock: Clock) {}

  /**
   * Replaces what is known of one entry.
   *
   * @param loads - its waiting calls; empty if none wait, or if its version does not tell
   */
  record (entry: string, loads: readonly RankLoad[]): void {
    if (loads.length === 0) this.waitingByEntry.delete(entry)
    else this.waitingByEntry.set(entry, { loads: addRankLoads(loads), atMs: this.clock.now() })
  }

  /**
   * @returns the sums over all entries, an empty list while none has calls that wait, or `undefined` if none has had any for
   *   {@link waitingTtlMs}, so that nothing needs to be sent
   */
  findSums (): RankLoad[] | undefined {
    const nowMs = this.clock.now()
    for (const [entry, { atMs }] of this.waitingByEntry) {
      if (nowMs - atMs >= waitingTtlMs) this.waitingByEntry.delete(entry)
    }
    if (this.waitingByEntry.size > 0) this.lastWaitingMs = nowMs
    if (nowMs - this.lastWaitingMs >= waitingTtlMs) return undefined
    return addRankLoads([...this.waitingByEntry.values()].flatMap(({ loads }) => loads))
  }
}
