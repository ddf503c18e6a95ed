/**
 * The interface of caller protocols. A protocol only translates between HTTP and calls; it makes no decisions.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { KindError } from '@clementineloft/kernel'

/** The head of a call, as far as all protocols have it. */
export interface CallHead {
  /** Identity of this attempt by the caller. */
  id: string
  method: string
  /** Path and query, unchanged. */
  target: string
  /** Path without the query. */
  path: string
  /** API key that the caller sent, if any. */
  key?: string
}

/** An answer that the entry creates itself, such as a refusal, rather than forwards from an endpoint. */
export interface LocalAnswer {
  status: number
  headers: Record<string, string>
  body: string
}

/** Translates between HTTP and calls for one kind of callers. */
export abstract class CallerProtocol<Call extends CallHead> {
  /**
   * Reads the head of a request.
   *
   * @throws `bad-request` if the head is invalid
   */
  abstract readCall (request: IncomingMessage): Call

  /**
   * Creates the answer to a call that no endpoint answers.
   *
   * @param call - the call, if its head could be read
   * @param error - the reason why no endpoint answers it
   * @param retryAfterMs - delay before the caller should retry, in milliseconds, if a retry can succeed
   */
  abstract createAnswer (call: Call | undefined, error: KindError, retryAfterMs?: number): LocalAnswer

  /** @returns whether a request to the readiness address is a readiness request */
  abstract isReadinessRequest (target: string, headers: IncomingHttpHeaders): boolean
}
