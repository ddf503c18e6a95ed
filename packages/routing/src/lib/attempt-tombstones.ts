/**
 * Tombstones of attempts that have ended at an endpoint, so that a delayed or duplicated open frame does not start one of
 * them again.
 */
import type { Clock, Timer } from '@clementineloft/kernel'

/** How long a tombstone is kept, in milliseconds: longer than any message can be in transit. */
const tombstoneTtlMs = 120_000

interface Tombstone {
  attempt: number
  timer: Timer
}

/** Keeps the highest ended attempt number of each request. */
export class AttemptTombstones {
  private readonly tombstones = new Map<string, Tombstone>()

  constructor (private readonly clock: Clock) {}

  /** Records that an attempt and all earlier attempts at the request have ended. */
  add (request: string, attempt: number): void {
    const previous = this.tombstones.get(request)
    previous?.timer.cancel()
    const timer = this.clock.schedule(tombstoneTtlMs, () => { this.tombstones.delete(request) })
    this.tombstones.set(request, { attempt: Math.max(attempt, previous?.attempt ?? 0), timer })
  }

  /** @returns the highest ended attempt number of a request; 0 if there is no tombstone */
  getLatestEnded (request: string): number {
    return this.tombstones.get(request)?.attempt ?? 0
  }
}
