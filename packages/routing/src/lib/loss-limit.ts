/**
 * Decides how a run goes on after it has lost a stage.
 *
 * Answers calls that meet endpoints which fail, one after another, faster than they start again: replacements at once
 * would all meet the same dead endpoints, so that after some of them the run waits until endpoints can be back.
 */

/** What follows a loss. */
export const LossStep = {
  /** Replace the lost stage at once. */
  replace: 'replace',
  /** Let go of all stages, and begin anew after a pause. */
  pause: 'pause',
  /** Give the run up. */
  giveUp: 'give-up'
} as const
export type LossStep = typeof LossStep[keyof typeof LossStep]

/** Counts the losses of one run since its last token. */
export class LossLimit {
  private losses = 0

  /**
   * @param maxReplacements - losses without a token or a pause after which the run pauses
   * @param maxSilenceMs - time without a token after which the run is given up instead, in milliseconds
   * @param lastTokenMs - time of the run's start, in milliseconds
   */
  constructor (
    private readonly maxReplacements: number,
    private readonly maxSilenceMs: number,
    private lastTokenMs: number
  ) {}

  /** @param nowMs - time of a token, in milliseconds */
  recordToken (nowMs: number): void {
    this.losses = 0
    this.lastTokenMs = nowMs
  }

  /**
   * @param nowMs - time of the loss, in milliseconds
   * @returns what the run does next
   */
  recordLoss (nowMs: number): LossStep {
    if (++this.losses <= this.maxReplacements) return LossStep.replace
    if (nowMs - this.lastTokenMs >= this.maxSilenceMs) return LossStep.giveUp
    this.losses = 0
    return LossStep.pause
  }
}
