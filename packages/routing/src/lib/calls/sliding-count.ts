/**
 * Counts events in a sliding window of time.
 *
 * Addresses processes that run for weeks: an event is forgotten once it leaves the window, whether or not anybody asks for
 * the count, so that memory follows the rate of events and not the lifetime of the process.
 */
import type { Clock } from '@clementineloft/kernel'

/** Number of expired events that are kept before the list is compacted, so that compaction costs little for each event. */
const maxExpiredEvents = 256

/** Events of the last window. */
export class SlidingCount {
  private times: number[] = []
  /** Index of the first event that has not expired. */
  private first = 0

  /** @param windowMs - length of the window, in milliseconds */
  constructor (
    private readonly clock: Clock,
    private readonly windowMs: number
  ) {}

  /** Records an event that happens now. */
  record (): void {
    this.dropExpired()
    this.times.push(this.clock.now())
  }

  /** @returns number of events in the window that ends now */
  count (): number {
    this.dropExpired()
    return this.times.length - this.first
  }

  /** @returns number of events in memory, including expired ones that are not removed yet */
  countHeld (): number {
    return this.times.length
  }

  private dropExpired (): void {
    const startMs = this.clock.now() - this.windowMs
    while (this.first < this.times.length && (this.times[this.first] as number) <= startMs) this.first++
    if (this.first <= maxExpiredEvents) return
    this.times = this.times.slice(this.first)
    this.first = 0
  }
}
