/**
 * Estimates the time from sending a call until its caller has what it waits for: the first event of a stream, or a whole
 * answer.
 *
 * Addresses calls that wait in the queue until just before their callers leave, and are then sent for nothing.
 */

/** Weight of the newest value in the moving averages. */
const smoothingFactor = 0.1
/** Mean deviations that are added to the mean, so that most calls are faster than the estimate. */
const deviationFactor = 2

/** Answer times of one kind of call. */
export class AnswerTime {
  private meanMs: number | undefined
  private deviationMs = 0

  /** Records the time that one call took, in milliseconds. */
  record (tookMs: number): void {
    if (!(tookMs >= 0 && tookMs < Infinity)) return
    if (this.meanMs === undefined) {
      this.meanMs = tookMs
      return
    }
    this.deviationMs += (Math.abs(tookMs - this.meanMs) - this.deviationMs) * smoothingFactor
    this.meanMs += (tookMs - this.meanMs) * smoothingFactor
  }

  /** @returns time that most calls need, in milliseconds; `undefined` before the first one */
  get (): number | undefined {
    return this.meanMs === undefined ? undefined : this.meanMs + deviationFactor * this.deviationMs
  }
}
