/**
 * Determines what the caller is told about the outcome of a call after several attempts.
 */
import { createError, ErrorKind, getErrorMessage, getErrorOutcome, Outcome } from '@clementineloft/kernel'

/** Tracks whether any attempt at one call may have run. */
export class AttemptOutcomes {
  private unknownOutcomeError: unknown

  /**
   * Records a failed attempt.
   *
   * @param error - error of the attempt
   */
  record (error: unknown): void {
    if (this.unknownOutcomeError === undefined && getErrorOutcome(error) === Outcome.unknown) this.unknownOutcomeError = error
  }

  /**
   * @param error - error of the last attempt
   * @returns the error for the caller; its outcome is "not run" only if every attempt proves that it did not run
   */
  getFinalError (error: unknown): unknown {
    if (this.unknownOutcomeError === undefined || getErrorOutcome(error) === Outcome.unknown) return error
    const message = `outcome unknown: an earlier attempt may have run (${getErrorMessage(this.unknownOutcomeError)}); the last attempt did not run: ${getErrorMessage(error)}`
    return createError(ErrorKind.outcomeUnknown, message, { outcome: Outcome.unknown, cause: this.unknownOutcomeError })
  }
}
