/**
 * Notices an engine that has become slow without dying, by comparing its steps with its own best.
 */

const smoothing = 0.1
const bestDrift = 1.0005

/** Follows how long steps take. */
export class SlowdownMeter {
  private averageMs = 0
  private bestMs = Infinity

  /**
   * @param durationMs - time that a step took in the engine, in milliseconds
   * @param rows - rows in the step
   */
  record (durationMs: number, rows: number): void {
    const rowMs = durationMs / Math.max(1, rows)
    this.averageMs = this.averageMs === 0 ? rowMs : this.averageMs + smoothing * (rowMs - this.averageMs)
    this.bestMs = Math.min(this.bestMs * bestDrift, this.averageMs)
  }

  /** @returns how many times slower the engine is than at its best; at least 1 */
  getSlowdown (): number {
    return this.bestMs > 0 && this.bestMs < Infinity ? Math.max(1, this.averageMs / this.bestMs) : 1
  }
}
