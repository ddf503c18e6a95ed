/**
 * The attempts at one call of a plain service: chooses the next endpoint and determines the final error.
 *
 * Covers rolling restarts, in which calls arrive while the endpoints of their service restart one after another.
 */
import { ErrorKind, getErrorKind } from '@clementineloft/kernel'
import { AttemptOutcomes } from './attempt-outcomes.js'

/** Tracks the endpoints that one call has tried. */
export class ServiceAttempts {
  private readonly tried = new Set<string>()
  /** Endpoints that have refused this call once because they had restarted, after which they may be tried once more. */
  private readonly restarted = new Set<string>()
  private readonly outcomes = new AttemptOutcomes()

  /** @param maxEndpoints - maximum number of endpoints that one call may try */
  constructor (private readonly maxEndpoints: number) {}

  /**
   * Chooses the next endpoint and marks it as tried.
   *
   * @param ranked - names of the endpoints that accept work, in order of preference
   * @returns name of the next endpoint, or `undefined` if no other may be tried
   */
  chooseNext (ranked: readonly string[]): string | undefined {
    if (this.tried.size >= this.maxEndpoints) return undefined
    const next = ranked.find((name) => !this.tried.has(name))
    if (next !== undefined) this.tried.add(next)
    return next
  }

  /**
   * Records a failed attempt. An endpoint that has restarted since its last report refuses the first attempt; its answer
   * identifies the new process, so the endpoint then counts as untried, once per call.
   *
   * @param endpoint - name of the endpoint
   * @param error - error of the attempt
   */
  recordFailure (endpoint: string, error: unknown): void {
    this.outcomes.record(error)
    const hasRestarted = getErrorKind(error) === ErrorKind.wrongIncarnation && !this.restarted.has(endpoint)
    if (!hasRestarted) return
    this.restarted.add(endpoint)
    this.tried.delete(endpoint)
  }

  /**
   * @param error - error of the last attempt
   * @returns the error for the caller; its outcome is "not run" only if every attempt proves that it did not run
   */
  getFinalError (error: unknown): unknown {
    return this.outcomes.getFinalError(error)
  }
}
