/**
 * What stands behind the server of calls: decides on each call and drives the accepted ones to their answers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { KindError } from '@clementineloft/kernel'
import type { CallHead } from './caller-protocol.js'

/** A call that was accepted by what its head says. */
export interface AcceptedCall {
  /** Longest body that it may have, in bytes. */
  maxBodyBytes: number
  /**
   * Drives the call to its answer.
   *
   * @param body - the whole body
   * @param response - the caller's answer, which the call owns from now on
   * @throws why the call cannot be started
   */
  start: (body: Buffer, request: IncomingMessage, response: ServerResponse) => Promise<void> | void
}

/** Decides on calls. */
export abstract class CallHost<Call extends CallHead> {
  /**
   * Finds route and team of a call.
   *
   * @param arrivedMs - when its head arrived, in milliseconds of the clock
   * @throws why it is refused
   */
  abstract accept (call: Call, arrivedMs: number): AcceptedCall

  /** @returns whether connections end with the answers that are sent now */
  abstract isLeaving (): boolean

  /** Notes a call that was refused before it started. */
  abstract recordRefusal (call: Call | undefined, error: KindError): void

  /** @returns when a refused caller should come back, in milliseconds; `undefined` to leave it to the kind of error */
  abstract getRetryAfterMs (): number | undefined
}
