/**
 * Computes the delay after which a refused caller should retry.
 *
 * Addresses callers that retry before capacity is free, are refused a second time and fail, and callers that all retry at
 * the same time.
 */
import type { RandomSource } from '@clementineloft/kernel'

/** Maximum delay as a fraction of the remaining time; callers wait no longer than a third of the remaining time. */
const maxRemainingRatio = 0.25
/** Minimum delay, in milliseconds, so that no caller retries immediately. */
const minDelayMs = 50

/** Input of the delay. */
export interface RetryDelayState {
  /** Time until the deadline of the caller, in milliseconds. */
  remainingMs: number
  /** Expected time until capacity is free for the caller, in milliseconds; `undefined` if nothing is known of it. */
  expectedMs: number | undefined
  /** Time after that over which retries are spread, in milliseconds. */
  spreadMs: number
}

/** @returns longest delay that a caller honours, in milliseconds */
export const computeMaxRetryDelay = (remainingMs: number): number => Math.max(minDelayMs, remainingMs * maxRemainingRatio)

/**
 * @returns delay before the retry, in milliseconds: at random within the spread after the expected time, or, where that is
 *   unknown or too late, within the second half of the longest delay
 */
export const computeRetryDelay = ({ remainingMs, expectedMs, spreadMs }: RetryDelayState, random: RandomSource): number => {
  const maxMs = computeMaxRetryDelay(remainingMs)
  const delayMs = expectedMs === undefined ? Infinity : expectedMs + random.next() * spreadMs
  return Math.max(minDelayMs, delayMs <= maxMs ? delayMs : maxMs * (1 + random.next()) / 2)
}

/**
 * @param loadMs - time to load all layers, in milliseconds
 * @param shares - layers of each endpoint, as a fraction of all; empty if no endpoint is known
 * @returns expected time until layers that are missing are loaded again, in milliseconds
 */
export const estimateLoad = (loadMs: number, shares: readonly number[]): number => loadMs * (shares.length === 0 ? 1 : Math.max(...shares))
