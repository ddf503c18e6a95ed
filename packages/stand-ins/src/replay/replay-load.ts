/**
 * Loads to replay, the policies under which they are replayed, and their outcomes.
 */
import type { RequestSize } from '@clementineloft/routing'
import type { OverloadPolicy } from './overload-policy.js'
import type { PlacementFactory } from './placement-policy.js'

/** A load to replay. */
export interface ReplayLoad {
  seconds: number
  /** @returns arrival rate in streams per second of a rank at a time, in seconds from the start */
  getRate: (second: number, rank: number) => number
  /** Ranks of the arrivals; only 0 if absent. */
  ranks?: readonly number[]
  /** @returns relative demand of a data centre at a time; 1 for all if absent */
  getDemand?: (dataCentre: string, second: number) => number
  /** @returns mean size of the requests that arrive at a time; the usual size if absent */
  getMeanSize?: (second: number) => RequestSize
  /** Number of entries that send to the fleet; `entryCount` of `mixed-fleet` if absent. */
  entries?: number
  /** Teams; each arrival belongs to one of them, picked uniformly at random. */
  teams: readonly string[]
  /**
   * Time without a first event after which a caller leaves, from its arrival or return, in milliseconds; if absent, callers
   * leave some time after their streams have started.
   */
  stayMs?: number
  /** Time at which endpoints are lost, in seconds from the start; never if absent. */
  lossSecond?: number
  /** Ids of the endpoints that are lost. */
  lost?: ReadonlySet<string>
}

/** Policies of the entries. */
export interface ReplayPolicies {
  createPlacement: PlacementFactory
  overload: OverloadPolicy
}

/** Outcome for the callers of one rank. */
export interface RankResult {
  arrived: number
  served: number
  refused: number
  /** Callers that were refused again when they returned. */
  refusedAgain: number
  /** Callers that left without a first event. */
  left: number
  firstEventMs: number[]
}

/** Outcome of a load; counts are of callers unless stated otherwise. */
export interface ReplayResult {
  arrived: number
  served: number
  /** Served, with the first event within the latency objective. */
  inTime: number
  /** Streams that were sent to endpoints, retries and replacements included. */
  sent: number
  /** Streams that had to wait because an endpoint of their path had no free slot or memory when they arrived. */
  queuedOnArrival: number
  /** Refusals sent to callers; a caller may be refused twice. */
  refusals: number
  /** Callers that gave up without a first event. */
  timedOut: number
  /** Times from a caller's first arrival to its first event, in milliseconds, for streams that were served. */
  firstEventMs: number[]
  arrivedByTeam: Map<string, number>
  servedByTeam: Map<string, number>
  byRank: Map<number, RankResult>
}
