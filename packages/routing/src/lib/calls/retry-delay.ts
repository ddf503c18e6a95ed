/**
 * Computes the delay after which a refused caller should retry.
 *
 * Addresses the loss of all endpoints at once: a caller that retries before the layers are loaded again is refused a second
 * time and fails. The delay is jittered over an interval as long as the expected wait, so that callers do not all retry
 * at the same time.
 */
import type { RandomSource } from '@clementineloft/kernel'

/** Expected time until a slot is free if endpoints are full, in milliseconds; a few requests end within it. */
const slotWaitMs = 300
/** Expected time until a slot is free if layers are missing, in milliseconds; endpoints start and load within it. */
const loadWaitMs = 1500
/** Maximum delay as a fraction of the remaining time; callers wait no longer than a third of the remaining time. */
const maxRemainingRatio = 0.25
/** Minimum delay, in milliseconds, so that no caller retries immediately. */
const minDelayMs = 50

/** Input of the delay. */
export interface RetryDelayState {
  /** Time until the deadline of the caller, in milliseconds. */
  remainingMs: number
  /** Whether no set of endpoints covers the model, or no endpoint serves at all. */
  isCoverageMissing: boolean
  /** Expected time that the calls ahead will take, in milliseconds. */
  waitMs: number
}

/** @returns delay before the retry, in milliseconds */
export const computeRetryDelay = (state: RetryDelayState, random: RandomSource): number => {
  const expectedMs = (state.isCoverageMissing ? loadWaitMs : slotWaitMs) + state.waitMs
  const jitteredMs = expectedMs * (1 + random.next())
  return Math.max(minDelayMs, Math.min(jitteredMs, state.remainingMs * maxRemainingRatio))
}
