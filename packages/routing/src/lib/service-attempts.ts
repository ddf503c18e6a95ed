/**
 * The attempts at one call of a plain service: which endpoint is asked next, and what may be said at the end.
 *
 * Answers calls that arrive while endpoints of their service are restarted one after another.
 */
import { ErrorKind, getErrorKind } from '@clementineloft/kernel'
import { AttemptOutcomes } from './attempt-outcomes.js'

/** Remembers the endpoints that one call has asked. */
export class ServiceAttempts {
  private readonly tried = new Set<string>()
  /** Endpoints that had restarted when they were asked, and may be asked once more. */
  private readonly restarted = new Set<string>()
  private readonly outcomes = new AttemptOutcomes()

  /** @param maxEndpoints - endpoints that one call may ask */
  constructor (private readonly maxEndpoints: number) {}

  /**
   * Chooses the next endpoint.
   *
   * @param ranked - names of the endpoints that take work, the preferred one first
   * @returns `undefined` if no other may be asked
   */
  chooseNext (ranked: readonly string[]): string | undefined {
    if (this.tried.size >= this.maxEndpoints) return undefined
    const next = ranked.find((name) => !this.tried.has(name))
    if (next !== undefined) this.tried.add(next)
    return next
  }

  /**
   * Notes a failed attempt. An endpoint that only had restarted since it was last heard of refuses the first time; its
   * answer tells of its new process, which is then asked as if for the first time.
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
   * @returns the error for the caller: "not run" only if every attempt proves it
   */
  getFinalError (error: unknown): unknown {
    return this.outcomes.getFinalError(error)
  }
}
