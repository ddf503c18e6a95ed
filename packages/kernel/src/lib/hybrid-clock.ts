/**
 * Hybrid logical clock: timestamps that follow wall time but never put an effect before its cause.
 */
import type { Clock } from './clock.js'

/** A point in causal time. */
export interface Timestamp {
  /** Milliseconds since the Unix epoch, pushed ahead by timestamps that were received. */
  wallMs: number
  /** Orders events within the same millisecond. */
  counter: number
}

/** Compares two timestamps, for sorting. */
export const compareTimestamps = (a: Timestamp, b: Timestamp): number =>
  a.wallMs - b.wallMs || a.counter - b.counter

/** Issues timestamps for one process. */
export class HybridClock {
  private last: Timestamp = { wallMs: 0, counter: 0 }

  constructor (private readonly clock: Clock) {}

  /** @returns a timestamp later than all issued or received before */
  issue (): Timestamp {
    const wallMs = Math.floor(this.clock.getWallTime())
    this.last = wallMs > this.last.wallMs
      ? { wallMs, counter: 0 }
      : { wallMs: this.last.wallMs, counter: this.last.counter + 1 }
    return this.last
  }

  /**
   * Takes note of another process's timestamp, so that later events sort after it.
   *
   * @param received - timestamp of a message from another process
   */
  merge (received: Timestamp): void {
    if (compareTimestamps(received, this.last) > 0) this.last = { ...received }
  }
}
