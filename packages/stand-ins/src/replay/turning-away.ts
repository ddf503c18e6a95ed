/**
 * Ways to treat a caller for whom no place is free, for comparison with the router's own.
 */
import type { RandomSource } from '@clementineloft/kernel'
import { computeReturnTime } from '@clementineloft/routing'

/** What the decision rests on, in milliseconds. */
export interface TurningState {
  waitedMs: number
  /** Time that the calls ahead are expected to take. */
  expectedMs: number
  remainingMs: number
}

/** Decides who waits and when a refused caller comes back. */
export abstract class TurningAway {
  /** @returns how long the caller may wait from now, in milliseconds; 0 to refuse it at once */
  abstract computeWait (state: TurningState): number

  /** @returns the time after which a refused caller comes back, in milliseconds */
  abstract computeReturn (state: TurningState, random: RandomSource): number
}

/** Refuses at once; callers come back at once. */
export class RefuseAtOnce extends TurningAway {
  override computeWait (): number { return 0 }

  override computeReturn (): number { return 50 }
}

/** Lets everybody wait to the end of its time. */
export class WaitToTheEnd extends TurningAway {
  override computeWait ({ remainingMs }: TurningState): number { return remainingMs }

  override computeReturn ({ remainingMs }: TurningState): number { return remainingMs }
}

/** Longest time that a call waits, in milliseconds, as `forwarding/call-run` has it. */
const longestWaitMs = 1500

/** The router's own: waits a short time if that will do, and comes back spread over the expected time. */
export class WaitShortly extends TurningAway {
  override computeWait ({ waitedMs, expectedMs, remainingMs }: TurningState): number {
    const leftMs = Math.min(remainingMs, longestWaitMs - waitedMs)
    return expectedMs < leftMs ? leftMs : 0
  }

  override computeReturn ({ remainingMs, expectedMs }: TurningState, random: RandomSource): number {
    return computeReturnTime({ remainingMs, isMissing: false, waitMs: expectedMs }, random)
  }
}
