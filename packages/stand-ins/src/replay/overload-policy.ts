/**
 * Policies for callers that find no free capacity: simple ones, and the router's own for comparison.
 */
import type { RandomSource } from '@clementineloft/kernel'
import { computeRetryDelay } from '@clementineloft/routing'

/** Input of the decision; all times are in milliseconds. */
export interface OverloadState {
  waitedMs: number
  /** Expected wait for the calls ahead in the queue. */
  expectedMs: number
  /** Time until the caller's deadline. */
  remainingMs: number
}

/** Decides whether a caller waits, and after which delay a refused caller retries. */
export abstract class OverloadPolicy {
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

/** Maximum wait of a call, in milliseconds; the same value as in `forwarding/call-run`. */
const maxWaitMs = 1500

/**
 * The router's policy: a caller waits if the expected wait fits within {@link maxWaitMs} and its deadline. Retries after
 * refusals are spread over the expected wait, so that refused callers do not all return at the same time.
 */
export class WaitBriefly extends OverloadPolicy {
  override computeWait ({ waitedMs, expectedMs, remainingMs }: OverloadState): number {
    const availableMs = Math.min(remainingMs, maxWaitMs - waitedMs)
    return expectedMs < availableMs ? availableMs : 0
  }

  override computeRetryDelay ({ remainingMs, expectedMs }: OverloadState, random: RandomSource): number {
    return computeRetryDelay({ remainingMs, isCoverageMissing: false, waitMs: expectedMs }, random)
  }
}
