/**
 * Assigns refused callers the times at which capacity is expected to become free, one after another.
 *
 * Addresses a burst in which hundreds of callers are refused within a second: with one delay for all of them they return
 * as a second burst.
 */
import type { Clock, RandomSource } from '@clementineloft/kernel'
import { computeMaxRetryDelay, computeRetryDelay } from './retry-delay.js'

/** A refused call. */
export interface RefusedCall {
  /** Priority; 0 is the most urgent. */
  rank: number
  /** Expected time that calls ahead of it take, in milliseconds. */
  waitMs: number
  /** Expected time between two starts of calls of its rank, in milliseconds. */
  intervalMs: number
  /** Time until the deadline of the caller, in milliseconds. */
  remainingMs: number
}

/** Times of return of the refused callers of one service. */
export class RetrySlots {
  /** Latest time of return that was assigned, by rank, in milliseconds of the clock. */
  private readonly lastMsByRank = new Map<number, number>()

  constructor (
    private readonly clock: Clock,
    private readonly random: RandomSource
  ) {}

  /**
   * Books the next time of return. It follows those of callers of the same and of more urgent ranks.
   *
   * @returns delay before the retry, in milliseconds
   */
  book ({ rank, waitMs, intervalMs, remainingMs }: RefusedCall): number {
    const nowMs = this.clock.now()
    const slotMs = Math.max(nowMs + waitMs, this.getLast(rank)) + intervalMs
    const latestMs = nowMs + computeMaxRetryDelay(remainingMs)
    this.lastMsByRank.set(rank, Math.max(this.lastMsByRank.get(rank) ?? -Infinity, Math.min(slotMs, latestMs)))
    return computeRetryDelay({ remainingMs, expectedMs: slotMs - nowMs, spreadMs: intervalMs }, this.random)
  }

  private getLast (rank: number): number {
    let lastMs = -Infinity
    for (const [other, ms] of this.lastMsByRank) {
      if (other <= rank) lastMs = Math.max(lastMs, ms)
    }
    return lastMs
  }
}
