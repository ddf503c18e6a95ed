/**
 * A share of a retry budget that all entries keep together without talking: so many repeats in any span of time.
 *
 * Answers the load pattern of a failing service whose callers and entries all repeat at once: each entry spends a
 * share of its own requests and an equal part of the fixed allowance.
 */
import type { Clock } from '@clementineloft/kernel'

/** Bounds of a budget. */
export interface RetryWindowOptions {
  /** Length of the span, in milliseconds. */
  windowMs: number
  /** Repeats for each request in the span. */
  ratio: number
  /** Repeats in the span whatever the number of requests, over all entries. */
  extra: number
}

/** Fewest entries among which the fixed allowance is divided, so that it is not spent before others are heard of. */
const fewestSharers = 24
/** Factor on the number of entries, since some may not be known yet. */
const sharerMargin = 1.5

/** Requests and repeats of one entry to one service, in a sliding span. */
export class RetryWindow {
  private requestTimes: number[] = []
  private repeatTimes: number[] = []

  /**
   * @param options - bounds over all entries
   * @param countEntries - entries that are known at present, this one included
   */
  constructor (
    private readonly clock: Clock,
    private readonly options: RetryWindowOptions,
    private readonly countEntries: () => number
  ) {}

  /** Notes a request of a caller. */
  recordRequest (): void {
    this.requestTimes.push(this.clock.now())
  }

  /** @returns whether a request may be sent once more */
  canTake (): boolean {
    const { windowMs, ratio, extra } = this.options
    const startMs = this.clock.now() - windowMs
    this.requestTimes = this.requestTimes.filter((timeMs) => timeMs > startMs)
    this.repeatTimes = this.repeatTimes.filter((timeMs) => timeMs > startMs)
    const share = extra / Math.max(fewestSharers, this.countEntries() * sharerMargin)
    return this.repeatTimes.length + 1 <= this.requestTimes.length * ratio + share
  }

  /** @returns whether a request may be sent once more; takes it from the budget */
  take (): boolean {
    if (!this.canTake()) return false
    this.repeatTimes.push(this.clock.now())
    return true
  }
}
