/**
 * Hybrid logical clock: its timestamps stay close to wall time and are consistent with causal order, even if the wall
 * clocks of processes differ.
 */
import type { Clock } from './clock.js'

/** A hybrid logical timestamp. */
export interface Timestamp {
  /** Milliseconds since the Unix epoch; ahead of the local clock if a later timestamp was received. */
  wallMs: number
  /** Orders events within the same millisecond. */
  counter: number
}

/** Compares two timestamps; a negative result means that the first one is earlier. */
export const compareTimestamps = (a: Timestamp, b: Timestamp): number =>
  a.wallMs - b.wallMs || a.counter - b.counter

/** Issues timestamps for one process. */
export class HybridClock {
  private last: Timestamp = { wallMs: 0, counter: 0 }

  constructor (private readonly clock: Clock) {}

  /** @returns a timestamp later than all that were issued or received before */
  issue (): Timestamp {
    const wallMs = Math.floor(this.clock.getWallTime())
    this.last = wallMs > this.last.wallMs
      ? { wallMs, counter: 0 }
      : { wallMs: this.last.wallMs, counter: this.last.counter + 1 }
    return this.last
  }

  /**
   * Merges a timestamp of another process, so that timestamps issued from now on are later.
   *
   * @param received - timestamp of a message from another process
   */
  merge (received: Timestamp): void {
    if (compareTimestamps(received, this.last) > 0) this.last = { ...received }
  }
}
