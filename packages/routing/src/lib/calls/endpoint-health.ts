/**
 * Tracks the health of endpoints from their answers alone and excludes unhealthy ones temporarily.
 *
 * Addresses endpoints that crash, stop responding, fail part of their requests or run slowly while they report themselves
 * as healthy. Each loss or refusal excludes an endpoint for a while, after which it is tried again; the exclusion doubles
 * with each consecutive loss. Error answers lower the weight of an endpoint in proportion to their rate.
 */
import type { Clock } from '@clementineloft/kernel'

/** Evidence of a failure of an endpoint. */
export const FailureEvidence = {
  /** It refused or closed a connection, or did not answer in time. */
  lost: 'lost',
  /** It reported that it has no capacity or does not hold the requested layers. */
  refused: 'refused',
  /** It answered with an error of its own. */
  failed: 'failed'
} as const
export type FailureEvidence = typeof FailureEvidence[keyof typeof FailureEvidence]

/** Minimum time for which an endpoint is excluded, in milliseconds, by evidence. */
const minExclusionMs: Readonly<Record<FailureEvidence, number>> = {
  // Two heartbeats: by then the list names the new incarnation or no longer lists the old one.
  lost: 2500,
  // Capacity is free again as soon as one request ends.
  refused: 150,
  failed: 0
}
const maxExclusionMs = 10_000
/** Weight of the newest answer in the exponential moving average of the failure rate. */
const smoothingFactor = 0.2

/** Maximum length of a pause that an endpoint can ask for, in milliseconds. */
const maxPauseMs = 3_600_000

interface Health {
  excludedUntilMs: number
  /** End of the pause that the endpoint has asked for, in milliseconds of the clock. */
  pausedUntilMs: number
  consecutiveLosses: number
  failureRate: number
}

/** Health of endpoints as observed by one entry. */
export class EndpointHealth {
  private readonly states = new Map<string, Health>()

  constructor (private readonly clock: Clock) {}

  /** Records a complete answer. */
  recordSuccess (endpoint: string): void {
    const state = this.states.get(endpoint)
    if (state === undefined) return
    state.consecutiveLosses = 0
    state.excludedUntilMs = 0
    state.failureRate *= 1 - smoothingFactor
  }

  /** Records an answer, or a missing one, that is evidence of a failure. */
  recordFailure (endpoint: string, evidence: FailureEvidence): void {
    const state = this.getState(endpoint)
    if (evidence === FailureEvidence.failed) {
      state.failureRate += (1 - state.failureRate) * smoothingFactor
      return
    }
    const backoffFactor = evidence === FailureEvidence.lost ? 2 ** state.consecutiveLosses : 1
    const exclusionMs = Math.min(maxExclusionMs, minExclusionMs[evidence] * backoffFactor)
    if (evidence === FailureEvidence.lost) state.consecutiveLosses = Math.min(state.consecutiveLosses + 1, 8)
    state.excludedUntilMs = Math.max(state.excludedUntilMs, this.clock.now() + exclusionMs)
  }

  /**
   * Records that an endpoint wants no requests for a while. A success of an earlier request does not end the pause.
   *
   * @param pauseMs - length of the pause, in milliseconds
   */
  recordPause (endpoint: string, pauseMs: number): void {
    const state = this.getState(endpoint)
    state.pausedUntilMs = Math.max(state.pausedUntilMs, this.clock.now() + Math.min(pauseMs, maxPauseMs))
  }

  /** @returns whether the endpoint should receive requests now */
  isUsable (endpoint: string): boolean {
    const state = this.states.get(endpoint)
    return state === undefined || Math.max(state.excludedUntilMs, state.pausedUntilMs) <= this.clock.now()
  }

  /** @returns time until the pause of the endpoint ends, in milliseconds; 0 if it has asked for none */
  getPauseMs (endpoint: string): number {
    return Math.max(0, (this.states.get(endpoint)?.pausedUntilMs ?? 0) - this.clock.now())
  }

  /** @returns moving average of the fraction of answers that were errors, from 0 to 1 */
  getFailureRate (endpoint: string): number {
    return this.states.get(endpoint)?.failureRate ?? 0
  }

  /** @param ids - endpoints that still exist; the state of all others is removed */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.states.keys()) {
      if (!ids.has(id)) this.states.delete(id)
    }
  }

  private getState (endpoint: string): Health {
    const known = this.states.get(endpoint)
    if (known !== undefined) return known
    const state = { excludedUntilMs: 0, pausedUntilMs: 0, consecutiveLosses: 0, failureRate: 0 }
    this.states.set(endpoint, state)
    return state
  }
}
