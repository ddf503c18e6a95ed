/**
 * Computes how long a call may wait for capacity.
 *
 * Addresses overload: a call that is placed after its caller has left takes capacity from one that is still wanted, and a
 * call that is refused although its caller would have stayed comes back as further load.
 */

/** Shortest time after which the caller of a stream leaves if no event arrives, in milliseconds. */
const minStayMs = 2000
/** Objectives, and longest pauses between events, for which the caller of a stream stays without an event. */
const stayObjectives = 4
const stayPauses = 8

/** What limits the wait of a call. Times of the clock and durations are in milliseconds. */
export interface WaitLimits {
  /** Whether the caller waits for a stream of events; others wait until their deadline. */
  isStream: boolean
  /** Time from which the caller counts: the arrival of the call, or its last event. */
  waitingSinceMs: number
  deadlineMs: number
  /** Latency objective of the route. */
  objectiveMs: number
  /** Longest pause between two events that the route allows, if known. */
  longestPauseMs?: number
  /** Expected time from sending the call to its first event, or to the whole answer; the objective if unknown. */
  answerMs: number | undefined
}

/** @returns the duration if it is positive; 0 for invalid ones, which then limit nothing */
const readDuration = (durationMs: number | undefined): number => durationMs !== undefined && durationMs > 0 ? durationMs : 0

/** @returns time for which the caller of a stream stays without an event, in milliseconds */
export const computeStay = ({ objectiveMs, longestPauseMs }: Pick<WaitLimits, 'objectiveMs' | 'longestPauseMs'>): number =>
  Math.max(minStayMs, stayObjectives * readDuration(objectiveMs), stayPauses * readDuration(longestPauseMs))

/** @returns time until which the call must be placed, in milliseconds of the clock; it may have passed */
export const computeWaitLimit = (limits: WaitLimits): number => {
  const { isStream, waitingSinceMs, deadlineMs, objectiveMs, answerMs } = limits
  const stayMs = isStream ? waitingSinceMs + computeStay(limits) : Infinity
  return Math.min(stayMs, deadlineMs) - readDuration(answerMs ?? objectiveMs)
}
