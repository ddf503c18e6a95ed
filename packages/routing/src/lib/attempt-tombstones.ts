/**
 * Attempts that have ended at an endpoint, remembered so that a late copy of one never starts.
 */
import type { Clock, Timer } from '@clementineloft/kernel'

/** Time for which an end is remembered, in milliseconds: longer than any message is on its way. */
const tombstoneMs = 120_000

interface Tombstone {
  attempt: number
  timer: Timer
}

/** The newest ended attempt of each request. */
export class AttemptTombstones {
  private readonly tombstones = new Map<string, Tombstone>()

  constructor (private readonly clock: Clock) {}

  /** Notes that an attempt, and all before it, have ended. */
  add (request: string, attempt: number): void {
    const older = this.tombstones.get(request)
    older?.timer.cancel()
    const timer = this.clock.schedule(tombstoneMs, () => { this.tombstones.delete(request) })
    this.tombstones.set(request, { attempt: Math.max(attempt, older?.attempt ?? 0), timer })
  }

  /** @returns the newest attempt of a request that has ended; 0 if none is remembered */
  getNewest (request: string): number {
    return this.tombstones.get(request)?.attempt ?? 0
  }
}
