/**
 * Finds the part of a path at which a stream has stalled.
 *
 * Addresses an endpoint that fails without closing its connections while many streams pass through it: all of these
 * streams stall at once, while the other endpoints on their paths still advance other streams.
 */
import type { Clock } from '@clementineloft/kernel'
import type { PathPart } from '../layers/layer-path.js'

/** Time for which an endpoint counts as live after a stream through it has advanced, in milliseconds. */
const progressTimeoutMs = 300

/** Time at which each endpoint last advanced a stream, as observed by one entry. */
export class StreamProgress {
  private readonly lastProgressMs = new Map<string, number>()

  constructor (private readonly clock: Clock) {}

  /** Records that a stream through these parts has advanced. */
  record (parts: readonly PathPart[]): void {
    const nowMs = this.clock.now()
    for (const { endpoint } of parts) this.lastProgressMs.set(endpoint.id, nowMs)
  }

  /** @returns whether a stream through the endpoint has advanced in the last `durationMs` milliseconds */
  hasAdvanced (id: string, durationMs: number): boolean {
    return this.clock.now() - (this.lastProgressMs.get(id) ?? -Infinity) < durationMs
  }

  /** @returns the parts of a stalled stream through which no other stream has advanced recently */
  listSuspects (parts: readonly PathPart[]): PathPart[] {
    const sinceMs = this.clock.now() - progressTimeoutMs
    return parts.filter(({ endpoint }) => (this.lastProgressMs.get(endpoint.id) ?? -Infinity) < sinceMs)
  }

  /** @param ids - endpoints that still exist; the state of all others is removed */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.lastProgressMs.keys()) {
      if (!ids.has(id)) this.lastProgressMs.delete(id)
    }
  }
}
