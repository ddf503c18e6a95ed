/**
 * A budget for retries: a share of what succeeds, so that retries never multiply an overload.
 */

/** Allows retries while requests succeed. */
export class RetryBudget {
  private tokens: number

  /**
   * @param sharePerSuccess - retries earned by each success
   * @param maxTokens - most retries saved up; also the number to begin with
   */
  constructor (
    private readonly sharePerSuccess: number,
    private readonly maxTokens: number
  ) {
    this.tokens = maxTokens
  }

  /** Notes a request that succeeded. */
  recordSuccess (): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + this.sharePerSuccess)
  }

  /** @returns whether a retry may be made; takes it from the budget */
  take (): boolean {
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
