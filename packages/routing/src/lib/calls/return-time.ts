/**
 * When a refused caller should come back.
 *
 * Answers the load pattern of all endpoints lost at once: who is told to return before layers are loaded again is
 * refused twice and lost. Callers are spread over a span as long as the wait, so that they do not return together.
 */
import type { RandomSource } from '@clementineloft/kernel'

/** Time until a place is expected, in milliseconds, where endpoints are full: a few requests end within it. */
const fullMs = 300
/** Time until a place is expected, in milliseconds, where layers are missing: endpoints start and load within it. */
const missingMs = 1500
/** Part of the time left after which a return is still worth while; callers wait no longer than a third of it. */
const usableShare = 0.25
/** Shortest time, in milliseconds, so that nobody repeats at once. */
const shortestMs = 50

/** What the time rests on. */
export interface ReturnState {
  /** Time that the caller has left, in milliseconds. */
  remainingMs: number
  /** Whether no endpoints cover the model, or none serves at all. */
  isMissing: boolean
  /** Time that the calls ahead will take, in milliseconds. */
  waitMs: number
}

/** @returns the time after which to come back, in milliseconds */
export const computeReturnTime = (state: ReturnState, random: RandomSource): number => {
  const expectedMs = (state.isMissing ? missingMs : fullMs) + state.waitMs
  const spreadMs = expectedMs * (1 + random.next())
  return Math.max(shortestMs, Math.min(spreadMs, state.remainingMs * usableShare))
}
