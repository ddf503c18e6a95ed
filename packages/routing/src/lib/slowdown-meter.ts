/**
 * Detects an engine that has become slow without failing, by comparing its moving average time per row with a baseline.
 */

/** Weight of a new value in the moving average. */
const smoothingFactor = 0.1
/** Factor by which the baseline rises with each step, so that it follows lasting changes in speed. */
const baselineDriftFactor = 1.0005

/** Compares the average time per row with a baseline, which is its minimum so far and rises slowly. */
export class SlowdownMeter {
  private averageRowMs = 0
  private baselineRowMs = Infinity

  /**
   * Records a step.
   *
   * @param durationMs - time that the step took in the engine, in milliseconds
   * @param rows - number of rows in the step
   */
  record (durationMs: number, rows: number): void {
    const rowMs = durationMs / Math.max(1, rows)
    this.averageRowMs = this.averageRowMs === 0 ? rowMs : this.averageRowMs + smoothingFactor * (rowMs - this.averageRowMs)
    this.baselineRowMs = Math.min(this.baselineRowMs * baselineDriftFactor, this.averageRowMs)
  }

  /** @returns ratio of the current time per row to the baseline; at least 1 */
  getSlowdown (): number {
    return this.baselineRowMs > 0 && this.baselineRowMs < Infinity ? Math.max(1, this.averageRowMs / this.baselineRowMs) : 1
  }
}
