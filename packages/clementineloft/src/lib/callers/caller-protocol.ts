/**
 * What a protocol of callers gives the server of calls. A protocol translates and decides nothing.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { KindError } from '@clementineloft/kernel'

/** What the head of any call says. */
export interface CallHead {
  /** Identity of this attempt of the caller. */
  id: string
  method: string
  /** Path and query, unchanged. */
  target: string
  /** Path without the query. */
  path: string
  /** Key of the caller's team, if it sent one. */
  key?: string
}

/** An answer of the router's own. */
export interface OwnAnswer {
  status: number
  headers: Record<string, string>
  body: string
}

/** One protocol towards callers. */
export abstract class CallerProtocol<Call extends CallHead> {
  /**
   * Reads the head of a request.
   *
   * @throws `bad-request` if it makes no sense
   */
  abstract readCall (request: IncomingMessage): Call

  /**
   * @param call - the call, if its head could be read
   * @param error - why it is not answered by an endpoint
   * @param retryAfterMs - when the caller should come back, if that helps
   */
  abstract createAnswer (call: Call | undefined, error: KindError, retryAfterMs?: number): OwnAnswer

  /** @returns whether a request at the readiness address asks for readiness */
  abstract isReadinessQuestion (target: string, headers: IncomingHttpHeaders): boolean
}
