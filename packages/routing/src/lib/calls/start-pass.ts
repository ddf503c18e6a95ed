/**
 * One pass over waiting calls that starts those for which capacity is free, within a bounded number of searches.
 *
 * Addresses a full fleet with a long queue: each search for a path costs processor time, and calls of one size fail
 * alike. A large call that finds no memory does not keep smaller ones from starting.
 */
import type { WaitingCall } from './waiting-queue.js'

/** Failed searches after which a pass ends. */
const maxMisses = 3
/** Calls that one pass looks at, so that its time does not grow with the queue. */
const maxLooks = 64

/** What became of a waiting call that was tried. */
export const StartResult = {
  started: 'started',
  /** No endpoint or path has capacity for it. */
  noCapacity: 'no-capacity',
  /** Capacity may be free, and is left to other calls. */
  heldBack: 'held-back'
} as const
export type StartResult = typeof StartResult[keyof typeof StartResult]

/** One pass over waiting calls. */
export class StartPass<Call extends WaitingCall> {
  private readonly tried = new Set<Call>()
  private smallestMissNeed = Infinity
  private hasHeldBack = false

  /**
   * Starts waiting calls.
   *
   * @param calls - waiting calls in the order in which to start them
   * @param start - tries to start a call
   */
  run (calls: Iterable<Call>, start: (call: Call) => StartResult): void {
    let misses = 0
    let looks = 0
    for (const call of calls) {
      if (++looks > maxLooks) return
      if (call.need >= this.smallestMissNeed && !call.isResumed) continue
      this.tried.add(call)
      const result = start(call)
      if (result === StartResult.started) continue
      if (result === StartResult.heldBack) this.hasHeldBack = true
      else if (!call.isResumed) this.smallestMissNeed = call.need
      if (++misses >= maxMisses) return
    }
  }

  /**
   * @param need - memory that an arriving call needs, in tokens
   * @param waiting - calls that go before it and still wait
   * @returns whether the arriving call may be tried, since none of these could use the capacity that it needs or is held back
   */
  canOvertake (need: number, waiting: Iterable<Call>): boolean {
    if (this.hasHeldBack) return false
    for (const call of waiting) {
      if (!this.tried.has(call) && call.need <= need && call.need < this.smallestMissNeed) return false
    }
    return true
  }
}
