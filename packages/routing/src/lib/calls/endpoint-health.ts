/**
 * Which endpoints to leave out for a while, judged from their answers alone.
 *
 * Answers the load pattern of endpoints that crash, fall silent, fail part of their requests or run slowly while their
 * own health report is good: each failure takes an endpoint out for a time that doubles while it keeps failing, after
 * which it is tried again; a share of failures lowers its weight.
 */
import type { Clock } from '@clementineloft/kernel'

/** What was seen of an endpoint. */
export const Evidence = {
  /** It refused connections, broke off or did not answer in time. */
  lost: 'lost',
  /** It said that it has no room or does not hold what was asked for. */
  refused: 'refused',
  /** It answered with a failure of its own. */
  failed: 'failed'
} as const
export type Evidence = typeof Evidence[keyof typeof Evidence]

/** Shortest time for which an endpoint is left out, in milliseconds, by evidence. */
const shortestAbsenceMs: Readonly<Record<Evidence, number>> = {
  // Two heartbeats: the list names a new start or drops the old one by then.
  lost: 2500,
  // Room comes back as soon as one request ends.
  refused: 150,
  failed: 0
}
const longestAbsenceMs = 10_000
/** Weight of the newest answer in the moving share of failures. */
const newestWeight = 0.2

interface Health {
  absentUntilMs: number
  absences: number
  failureShare: number
}

/** Health of endpoints as one entry sees it. */
export class EndpointHealth {
  private readonly states = new Map<string, Health>()

  constructor (private readonly clock: Clock) {}

  /** Notes a complete answer. */
  recordSuccess (endpoint: string): void {
    const state = this.states.get(endpoint)
    if (state === undefined) return
    state.absences = 0
    state.absentUntilMs = 0
    state.failureShare *= 1 - newestWeight
  }

  /** Notes an answer, or the lack of one, that speaks against an endpoint. */
  recordFailure (endpoint: string, evidence: Evidence): void {
    const state = this.states.get(endpoint) ?? { absentUntilMs: 0, absences: 0, failureShare: 0 }
    this.states.set(endpoint, state)
    if (evidence === Evidence.failed) {
      state.failureShare += (1 - state.failureShare) * newestWeight
      return
    }
    const doubled = evidence === Evidence.lost ? 2 ** state.absences : 1
    const absenceMs = Math.min(longestAbsenceMs, shortestAbsenceMs[evidence] * doubled)
    if (evidence === Evidence.lost) state.absences = Math.min(state.absences + 1, 8)
    state.absentUntilMs = Math.max(state.absentUntilMs, this.clock.now() + absenceMs)
  }

  /** @returns whether the endpoint should get requests now */
  isUsable (endpoint: string): boolean {
    return (this.states.get(endpoint)?.absentUntilMs ?? 0) <= this.clock.now()
  }

  /** @returns moving share of answers that were failures, from 0 to 1 */
  getFailureShare (endpoint: string): number {
    return this.states.get(endpoint)?.failureShare ?? 0
  }

  /** @param ids - endpoints that still exist; all others are forgotten */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.states.keys()) {
      if (!ids.has(id)) this.states.delete(id)
    }
  }
}
