/**
 * A budget for retries: a share of what succeeds and a few a second besides, so that retries never multiply an overload.
 */
import type { Clock } from '@clementineloft/kernel'

const millisecondsPerSecond = 1000

/** Allows retries while requests succeed. */
export class RetryBudget {
  private tokens: number
  private refilledMs: number

  /**
   * @param sharePerSuccess - retries earned by each success
   * @param perSecond - retries earned by each second, so that a time without success does not end all retries
   * @param maxTokens - most retries saved up; also the number to begin with
   */
  constructor (
    private readonly sharePerSuccess: number,
    private readonly perSecond: number,
    private readonly maxTokens: number,
    private readonly clock: Clock
  ) {
    this.tokens = maxTokens
    this.refilledMs = clock.now()
  }

  /** Notes a request that succeeded. */
  recordSuccess (): void {
    this.add(this.sharePerSuccess)
  }

  /** @returns whether a retry may be made; takes it from the budget */
  take (): boolean {
    const nowMs = this.clock.now()
    this.add((nowMs - this.refilledMs) * this.perSecond / millisecondsPerSecond)
    this.refilledMs = nowMs
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }

  private add (tokens: number): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + tokens)
  }
}
