/**
 * A token bucket that limits retries to a share of successful requests plus a small constant rate, so that retries do not
 * amplify an overload.
 */
import type { Clock } from '@clementineloft/kernel'

const millisecondsPerSecond = 1000

/** Token bucket in which each token pays for one retry. */
export class RetryBudget {
  private tokens: number
  private lastRefillMs: number

  /**
   * @param retriesPerSuccess - tokens added per successful request
   * @param retriesPerSecond - tokens added per second, so that retries remain possible in a period without successes
   * @param maxTokens - capacity of the bucket, which starts full
   */
  constructor (
    private readonly retriesPerSuccess: number,
    private readonly retriesPerSecond: number,
    private readonly maxTokens: number,
    private readonly clock: Clock
  ) {
    this.tokens = maxTokens
    this.lastRefillMs = clock.now()
  }

  /** Records a successful request. */
  recordSuccess (): void {
    this.add(this.retriesPerSuccess)
  }

  /** @returns whether a retry is allowed; if so, a token is consumed */
  take (): boolean {
    const nowMs = this.clock.now()
    this.add((nowMs - this.lastRefillMs) * this.retriesPerSecond / millisecondsPerSecond)
    this.lastRefillMs = nowMs
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }

  private add (tokens: number): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + tokens)
  }
}
