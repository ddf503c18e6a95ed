/**
 * Decides how a run continues after it has lost a stage.
 *
 * Covers endpoints that fail one after another faster than they restart. Immediate replacements would all hit the same
 * failed endpoints, so after a number of them the run pauses to give endpoints time to restart.
 */

/** How a run continues after a loss. */
export const LossAction = {
  /** Replace the lost stage immediately. */
  replace: 'replace',
  /** Close all stages and restart after a pause. */
  pause: 'pause',
  /** Fail the run. */
  giveUp: 'give-up'
} as const
export type LossAction = typeof LossAction[keyof typeof LossAction]

/** Counts the losses of one run since its last token or pause. */
export class LossLimit {
  private consecutiveLosses = 0

  /**
   * @param maxReplacements - maximum number of immediate replacements without a token or a pause in between
   * @param maxSilenceMs - time without a token after which the run fails instead of pausing, in milliseconds
   * @param lastTokenMs - time when the run started, in milliseconds
   */
  constructor (
    private readonly maxReplacements: number,
    private readonly maxSilenceMs: number,
    private lastTokenMs: number
  ) {}

  /**
   * Records that the run has delivered a token, which resets the loss count.
   *
   * @param nowMs - time of the token, in milliseconds
   */
  recordToken (nowMs: number): void {
    this.consecutiveLosses = 0
    this.lastTokenMs = nowMs
  }

  /**
   * Records the loss of one or more stages at the same time.
   *
   * @param nowMs - time of the loss, in milliseconds
   * @returns how the run continues
   */
  recordLoss (nowMs: number): LossAction {
    if (++this.consecutiveLosses <= this.maxReplacements) return LossAction.replace
    if (nowMs - this.lastTokenMs >= this.maxSilenceMs) return LossAction.giveUp
    this.consecutiveLosses = 0
    return LossAction.pause
  }
}
