/**
 * What one entry may start of one rank while more urgent calls wait: its part of the capacity that these do not need, and its
 * share of the capacity that is never withheld.
 */

/** Time between two reports of a sidecar, in milliseconds: an entry may use its part of the surplus once in this time. */
const reportIntervalMs = 300
/** Longest time for which a share smaller than one call waits for its next one, in milliseconds. */
export const maxShareWaitMs = 2000

/** What bounds the starts of a rank. */
export interface RankBounds {
  /** Tokens that the entry may start in {@link reportIntervalMs}: its part of the surplus. */
  surplusTokens: number
  /** Tokens of the rank that this entry may have running in any case. */
  shareTokens: number
  /** Tokens of the rank that this entry has running. */
  runningTokens: number
}

/** Starts of one rank at one entry. */
export class RankShare {
  /** Tokens of the surplus that may be started; negative after a call that was larger. */
  private credit: number
  /** What is left of the share over time, in tokens times milliseconds. */
  private balance = 0
  private bounds: RankBounds = { surplusTokens: 0, shareTokens: 0, runningTokens: 0 }
  private startedTokens = 0
  private isNew = true

  /**
   * Both parameters are drawn at random, so that entries do not start all at once.
   *
   * @param debtTokens - tokens that must become free first
   * @param debtRatio - part of {@link maxShareWaitMs} for which a share smaller than one call waits first, from 0 to 1
   */
  constructor (debtTokens: number, private readonly debtRatio: number) {
    this.credit = -debtTokens
  }

  /**
   * Lets time pass.
   *
   * @param bounds - as observed now
   * @param elapsedMs - time since the last observation, in milliseconds
   */
  advance (bounds: RankBounds, elapsedMs: number): void {
    this.bounds = bounds
    this.startedTokens = 0
    this.credit = Math.min(bounds.surplusTokens, this.credit + bounds.surplusTokens * elapsedMs / reportIntervalMs)
    const maxDebt = bounds.shareTokens * maxShareWaitMs
    const earned = this.isNew ? -maxDebt * this.debtRatio : (bounds.shareTokens - bounds.runningTokens) * elapsedMs
    this.isNew = false
    this.balance = Math.min(0, Math.max(-maxDebt, this.balance + earned))
  }

  /** @returns whether nothing is to be paid for any more */
  isSettled (): boolean {
    return this.balance >= 0
  }

  /** @returns whether the part of the surplus permits a start */
  canUseSurplus (): boolean {
    return this.bounds.surplusTokens > 0 && this.credit >= 0
  }

  /** @returns whether the share that is never withheld permits the start of a call */
  canUseShare (tokens: number): boolean {
    const { shareTokens, runningTokens } = this.bounds
    const usedTokens = runningTokens + this.startedTokens
    if (usedTokens + tokens <= shareTokens) return true
    return shareTokens > 0 && usedTokens === 0 && this.balance >= 0
  }

  /** Records the start of a call. */
  recordStart (tokens: number): void {
    // A call within the share costs no part of the surplus.
    if (!this.canUseShare(tokens)) this.credit -= tokens
    this.startedTokens += tokens
  }
}
