/**
 * What may be said of a call after several attempts at it.
 */
import { createError, ErrorKind, getErrorMessage, getErrorOutcome, Outcome } from '@clementineloft/kernel'

/** Remembers whether any attempt at one call may have run. */
export class AttemptOutcomes {
  private unknown: unknown

  /**
   * Notes a failed attempt.
   *
   * @param error - error of the attempt
   */
  record (error: unknown): void {
    if (this.unknown === undefined && getErrorOutcome(error) === Outcome.unknown) this.unknown = error
  }

  /**
   * @param error - error of the last attempt
   * @returns the error for the caller: "not run" only if every attempt proves it
   */
  getFinalError (error: unknown): unknown {
    if (this.unknown === undefined || getErrorOutcome(error) === Outcome.unknown) return error
    const message = `an earlier attempt may have run (${getErrorMessage(this.unknown)}); the last one did not: ${getErrorMessage(error)}`
    return createError(ErrorKind.outcomeUnknown, message, { outcome: Outcome.unknown, cause: this.unknown })
  }
}
