/**
 * The fixed set of error kinds and the HTTP response for each of them.
 */
import VError from 'verror'

/** What is known about the execution of a request that failed or got no answer. */
export const Outcome = {
  /** The request has not run and never will. */
  notRun: 'not-run',
  /** The request may have run. */
  unknown: 'unknown'
} as const
export type Outcome = typeof Outcome[keyof typeof Outcome]

/** All kinds of errors that are visible to callers and other processes. */
export const ErrorKind = {
  badRequest: 'bad-request',
  unauthorized: 'unauthorized',
  notFound: 'not-found',
  tooLarge: 'too-large',
  conflict: 'conflict',
  keyReused: 'key-reused',
  leaving: 'leaving',
  wrongIncarnation: 'wrong-incarnation',
  superseded: 'superseded',
  overloaded: 'overloaded',
  limited: 'limited',
  quarantined: 'quarantined',
  noCapacity: 'no-capacity',
  deadline: 'deadline',
  storeUnavailable: 'store-unavailable',
  endpointFailed: 'endpoint-failed',
  outcomeUnknown: 'outcome-unknown',
  notReady: 'not-ready',
  settingsInvalid: 'settings-invalid',
  internal: 'internal'
} as const
export type ErrorKind = typeof ErrorKind[keyof typeof ErrorKind]

/** The HTTP response for an error kind. */
export interface ErrorResponse {
  status: number
  title: string
  /** Time after which a retry may succeed, in seconds; absent if a retry does not help. */
  retryAfterSeconds?: number
}

/** The HTTP response for each error kind. */
export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  'bad-request': { status: 400, title: 'The request is malformed' },
  unauthorized: { status: 401, title: 'The API key is missing or unknown' },
  'not-found': { status: 404, title: 'There is no such resource' },
  'too-large': { status: 413, title: 'The request is too large' },
  conflict: { status: 409, title: 'The change conflicts with another' },
  'key-reused': { status: 422, title: 'The idempotency key was used for a different request' },
  leaving: { status: 503, title: 'The instance is shutting down', retryAfterSeconds: 1 },
  'wrong-incarnation': { status: 503, title: 'The endpoint has restarted', retryAfterSeconds: 1 },
  superseded: { status: 409, title: 'A newer attempt has replaced this one' },
  overloaded: { status: 503, title: 'The system is overloaded', retryAfterSeconds: 2 },
  limited: { status: 429, title: 'The team is over its limit', retryAfterSeconds: 1 },
  quarantined: { status: 422, title: 'The request crashed the endpoints that ran it' },
  'no-capacity': { status: 503, title: 'No endpoint can serve the request', retryAfterSeconds: 2 },
  deadline: { status: 504, title: 'The request cannot finish in time' },
  'store-unavailable': { status: 503, title: 'The platform store is unavailable', retryAfterSeconds: 5 },
  'endpoint-failed': { status: 502, title: 'The endpoint failed' },
  'outcome-unknown': { status: 502, title: 'The endpoint was lost while the request may have been running' },
  'not-ready': { status: 503, title: 'The instance has no configuration yet', retryAfterSeconds: 2 },
  'settings-invalid': { status: 500, title: 'The settings are invalid' },
  internal: { status: 500, title: 'An internal error occurred' }
}

/** Optional properties of a {@link KindError}. */
export interface ErrorOptions {
  /** Outcome of the caller's request; `not-run` by default. */
  outcome?: Outcome
  cause?: unknown
}

/** An error with a kind, which is also its name. */
export class KindError extends VError {
  readonly outcome: Outcome

  /**
   * @param kind - kind of the error
   * @param message - what failed, which component caused it, and how to correct it
   * @param options - outcome and cause
   */
  constructor (
    readonly kind: ErrorKind,
    message: string,
    options: ErrorOptions = {}
  ) {
    super({ name: kind, ...(options.cause instanceof Error ? { cause: options.cause } : {}) }, '%s', message)
    this.outcome = options.outcome ?? Outcome.notRun
  }
}

/**
 * @param kind - kind of the error
 * @param message - what failed, which component caused it, and how to correct it
 * @param options - outcome and cause
 * @returns the error
 */
export const createError = (kind: ErrorKind, message: string, options: ErrorOptions = {}): KindError =>
  new KindError(kind, message, options)

/**
 * @param error - any thrown value
 * @returns its kind; `internal` if it is not a {@link KindError}
 */
export const getErrorKind = (error: unknown): ErrorKind =>
  error instanceof KindError ? error.kind : ErrorKind.internal

/**
 * @param error - any thrown value
 * @returns its outcome; `unknown` if it is not a {@link KindError}
 */
export const getErrorOutcome = (error: unknown): Outcome =>
  error instanceof KindError ? error.outcome : Outcome.unknown

/**
 * @param error - any thrown value
 * @returns its message, or its text form if it is not an `Error`
 */
export const getErrorMessage = (error: unknown): string => error instanceof Error ? error.message : String(error)
