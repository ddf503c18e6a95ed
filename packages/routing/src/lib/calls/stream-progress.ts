/**
 * Finds the part of a path at which a stream has stopped.
 *
 * Answers the load pattern of an endpoint that dies in silence while many streams pass through it: all of them stop at
 * once, while the other endpoints on their paths still bring other streams forward.
 */
import type { Clock } from '@clementineloft/kernel'
import type { PathPart } from '../layers/layer-path.js'

/** Time for which an endpoint counts as alive after a stream through it has gone forward, in milliseconds. */
const freshMs = 300

/** When each endpoint last brought a stream forward, as one entry sees it. */
export class StreamProgress {
  private readonly lastMs = new Map<string, number>()

  constructor (private readonly clock: Clock) {}

  /** Notes that a stream went forward. */
  record (parts: readonly PathPart[]): void {
    const nowMs = this.clock.now()
    for (const { endpoint } of parts) this.lastMs.set(endpoint.id, nowMs)
  }

  /** @returns the parts of a stopped stream through which no other stream goes forward */
  listSuspects (parts: readonly PathPart[]): PathPart[] {
    const sinceMs = this.clock.now() - freshMs
    return parts.filter(({ endpoint }) => (this.lastMs.get(endpoint.id) ?? -Infinity) < sinceMs)
  }

  /** @param ids - endpoints that still exist; all others are forgotten */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.lastMs.keys()) {
      if (!ids.has(id)) this.lastMs.delete(id)
    }
  }
}
