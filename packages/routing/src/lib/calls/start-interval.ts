/**
 * Estimates the time between two starts of calls while calls wait, which is the rate at which capacity becomes free.
 *
 * Addresses a quiet entry in which a burst begins: the long gaps between its calls before say nothing of capacity.
 */
import type { Clock } from '@clementineloft/kernel'

/** Weight of the newest gap in the exponential moving average. */
const smoothingFactor = 0.1

/** Mean time between starts of calls of one service. */
export class StartInterval {
  private meanMs: number | undefined
  private lastStartMs: number | undefined
  /** Since when calls wait without a break, in milliseconds of the clock; `undefined` if none waits. */
  private waitingSinceMs: number | undefined

  constructor (private readonly clock: Clock) {}

  /** Records whether calls wait, after each change of their number. */
  recordWaiting (isWaiting: boolean): void {
    this.waitingSinceMs = isWaiting ? this.waitingSinceMs ?? this.clock.now() : undefined
  }

  /** Records the start of a call. A gap in which no call waited counts only if it is shorter than the mean. */
  recordStart (): void {
    const gapMs = this.getGapMs()
    if (gapMs !== undefined && (this.waitingSinceMs !== undefined || gapMs < (this.meanMs ?? Infinity))) this.meanMs = this.mergeGap(gapMs)
    this.lastStartMs = this.clock.now()
  }

  /** @returns mean time between two starts, in milliseconds; `undefined` before the second start */
  get (): number | undefined {
    const gapMs = this.getGapMs()
    if (this.meanMs === undefined || this.waitingSinceMs === undefined || gapMs === undefined) return this.meanMs
    return Math.max(this.meanMs, this.mergeGap(gapMs))
  }

  private mergeGap (gapMs: number): number {
    return this.meanMs === undefined ? gapMs : this.meanMs + (gapMs - this.meanMs) * smoothingFactor
  }

  private getGapMs (): number | undefined {
    if (this.lastStartMs === undefined) return undefined
    return this.clock.now() - Math.max(this.lastStartMs, this.waitingSinceMs ?? -Infinity)
  }
}
