/**
 * Limits the retries that all entries together send in a sliding window, without coordination between them.
 *
 * Addresses a failing service whose callers and entries all retry at once: each entry may spend a fraction of its own
 * requests and an equal share of a fixed allowance. A process that replaces one that was killed takes nothing of the
 * allowance for one window, since its predecessor may have spent the same share just before.
 */
import type { Clock } from '@clementineloft/kernel'
import { SlidingCount } from './sliding-count.js'

/** Limits of a retry budget. */
export interface RetryWindowOptions {
  /** Length of the window, in milliseconds. */
  windowMs: number
  /** Retries per request in the window. */
  ratio: number
  /** Retries in the window independent of the number of requests, over all entries. */
  extra: number
}

/** Minimum number of entries that share the fixed allowance, so that it is not spent before other entries are known. */
const minSharingEntries = 24
/** Factor on the number of known entries, since some may not be known yet. */
const entryCountMargin = 1.5

/** Requests and retries of one entry to one service in a sliding window. */
export class RetryWindow {
  private readonly requests: SlidingCount
  private readonly retries: SlidingCount

  /**
   * @param options - limits over all entries
   * @param countEntries - returns the number of entries currently known, including this one
   * @param processStartMs - start of this process, in milliseconds of the clock
   */
  constructor (
    private readonly clock: Clock,
    private readonly options: RetryWindowOptions,
    private readonly countEntries: () => number,
    private readonly processStartMs: number
  ) {
    this.requests = new SlidingCount(clock, options.windowMs)
    this.retries = new SlidingCount(clock, options.windowMs)
  }

  /** Records a request of a caller. */
  recordRequest (): void {
    this.requests.record()
  }

  /** @returns whether the budget permits a retry */
  canTake (): boolean {
    return this.retries.count() + 1 <= this.requests.count() * this.options.ratio + this.computeShare()
  }

  /** Takes one retry from the budget. @returns whether the budget permitted it */
  take (): boolean {
    if (!this.canTake()) return false
    this.retries.record()
    return true
  }

  /** @returns share of this process in the fixed allowance; none until its predecessor's retries have left the window */
  private computeShare (): number {
    const { windowMs, extra } = this.options
    if (this.clock.now() - this.processStartMs < windowMs) return 0
    return extra / Math.max(minSharingEntries, this.countEntries() * entryCountMargin)
  }
}
