/**
 * Remembers for a moment which calls were at an endpoint, since the end of a later part of a path shows only after the calls
 * there have been moved or ended.
 */
import type { Clock } from '@clementineloft/kernel'
import type { CallEndpoint } from '@clementineloft/routing'

/** Time for which a visit is remembered, in milliseconds: a sidecar reports the end of its endpoint within it. */
const visitTtlMs = 1500
/** Maximum number of visits; the oldest are forgotten first. */
const maxVisits = 1000

/** A call that has left its endpoints without an answer that cleared it. */
export interface Visit {
  traits: readonly string[]
  endpoints: readonly CallEndpoint[]
  /** When the call was sent there, in milliseconds of the clock. */
  sentMs: number
}

/** Visits of one entry's calls. */
export class RecentVisits {
  private visits: Array<Visit & { leftMs: number }> = []

  constructor (private readonly clock: Clock) {}

  /** Records that a call leaves its endpoints now. */
  record (visit: Visit): void {
    this.visits.push({ ...visit, leftMs: this.clock.now() })
    if (this.visits.length > maxVisits) this.visits = this.list().slice(-maxVisits / 2)
  }

  /** @returns recent visits of an endpoint */
  listAt (endpoint: CallEndpoint): Visit[] {
    return this.list().filter(({ endpoints }) => endpoints.some(({ id }) => id === endpoint.id))
  }

  private list (): Array<Visit & { leftMs: number }> {
    const nowMs = this.clock.now()
    return this.visits.filter(({ leftMs }) => nowMs - leftMs < visitTtlMs)
  }
}
