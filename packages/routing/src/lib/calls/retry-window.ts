/**
 * Limits the retries that all entries together send in a sliding window, without coordination between them.
 *
 * Addresses a failing service whose callers and entries all retry at once: each entry may spend a fraction of its own
 * requests and an equal share of a fixed allowance.
 */
import type { Clock } from '@clementineloft/kernel'

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
  private requestTimes: number[] = []
  private retryTimes: number[] = []

  /**
   * @param options - limits over all entries
   * @param countEntries - returns the number of entries currently known, including this one
   */
  constructor (
    private readonly clock: Clock,
    private readonly options: RetryWindowOptions,
    private readonly countEntries: () => number
  ) {}

  /** Records a request of a caller. */
  recordRequest (): void {
    this.requestTimes.push(this.clock.now())
  }

  /** @returns whether the budget permits a retry */
  canTake (): boolean {
    const { windowMs, ratio, extra } = this.options
    const startMs = this.clock.now() - windowMs
    this.requestTimes = this.requestTimes.filter((timeMs) => timeMs > startMs)
    this.retryTimes = this.retryTimes.filter((timeMs) => timeMs > startMs)
    const share = extra / Math.max(minSharingEntries, this.countEntries() * entryCountMargin)
    return this.retryTimes.length + 1 <= this.requestTimes.length * ratio + share
  }

  /** Takes one retry from the budget. @returns whether the budget permitted it */
  take (): boolean {
    if (!this.canTake()) return false
    this.retryTimes.push(this.clock.now())
    return true
  }
}
