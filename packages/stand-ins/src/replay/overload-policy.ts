/**
 * Policies for callers that find no free capacity: simple ones, and the router's own for comparison.
 */
import type { RandomSource } from '@clementineloft/kernel'
import { computeRetryDelay, computeWaitLimit } from '@clementineloft/routing'
import type { RetrySlots } from '@clementineloft/routing'

/** Input of the decision; all times are in milliseconds. */
export interface OverloadState {
  waitedMs: number
  /** Expected wait for the calls ahead in the queue. */
  expectedMs: number
  /** Time until the caller's deadline. */
  remainingMs: number
  rank: number
  objectiveMs: number
  /** Expected time to the first event once placed; `undefined` if unknown. */
  answerMs: number | undefined
  /** Expected time between two starts of calls of the rank; `undefined` if unknown. */
  intervalMs: number | undefined
  /** Times of return that the entry has assigned. */
  slots: RetrySlots
}

/** Decides whether a caller waits, and after which delay a refused caller retries. */
export abstract class OverloadPolicy {
  /** Whether a new caller lets those that wait go first. */
  readonly isOrdered: boolean = false

  /** @returns maximum wait from now, in milliseconds; 0 refuses the caller immediately */
  abstract computeWait (state: OverloadState): number

  /** @returns delay after which a refused caller retries, in milliseconds */
  abstract computeRetryDelay (state: OverloadState, random: RandomSource): number
}

/** Refuses immediately; callers retry almost immediately. */
export class RefuseImmediately extends OverloadPolicy {
  override computeWait (): number { return 0 }

  override computeRetryDelay (): number { return 50 }
}

/** Lets every caller wait until its deadline. */
export class WaitUntilDeadline extends OverloadPolicy {
  override computeWait ({ remainingMs }: OverloadState): number { return remainingMs }

  override computeRetryDelay ({ remainingMs }: OverloadState): number { return remainingMs }
}

/** Maximum wait of a call under {@link WaitFixedTime}, and the usual time until a slot is free, in milliseconds. */
const fixedWaitMs = 1500
const fixedSlotMs = 300
/** Bounds of its retry delay, in milliseconds and as a fraction of the remaining time. */
const minDelayMs = 50
const maxRemainingRatio = 0.25

/** Lets every caller wait for up to a fixed time. Retries are spread over the expected wait, whatever their number. */
export class WaitFixedTime extends OverloadPolicy {
  override computeWait ({ waitedMs, expectedMs, remainingMs }: OverloadState): number {
    const availableMs = Math.min(remainingMs, fixedWaitMs - waitedMs)
    return expectedMs < availableMs ? availableMs : 0
  }

  override computeRetryDelay ({ remainingMs, expectedMs }: OverloadState, random: RandomSource): number {
    const waitMs = fixedSlotMs + expectedMs
    return Math.max(minDelayMs, Math.min(waitMs * (1 + random.next()), remainingMs * maxRemainingRatio))
  }
}

/**
 * The router's policy: a caller waits if it is expected to be placed in time for its first event, and lets those that wait
 * go first. Refused callers return one after another as capacity becomes free.
 */
export class WaitBriefly extends OverloadPolicy {
  override readonly isOrdered = true

  override computeWait ({ expectedMs, remainingMs, objectiveMs, answerMs }: OverloadState): number {
    const limitMs = computeWaitLimit({ isStream: true, waitingSinceMs: 0, deadlineMs: remainingMs, objectiveMs, answerMs })
    return expectedMs < limitMs ? limitMs : 0
  }

  override computeRetryDelay ({ rank, expectedMs, intervalMs, remainingMs, objectiveMs, slots }: OverloadState, random: RandomSource): number {
    const freeMs = expectedMs + objectiveMs
    if (intervalMs === undefined) return computeRetryDelay({ remainingMs, expectedMs: freeMs, spreadMs: freeMs }, random)
    return slots.book({ rank, waitMs: expectedMs, intervalMs, remainingMs })
  }
}
