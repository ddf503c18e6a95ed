/**
 * The interface between the call server and the handling of calls: a host accepts or refuses each call by its head and
 * runs the accepted calls.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { KindError } from '@clementineloft/kernel'
import type { CallHead } from './caller-protocol.js'

/** A call that was accepted by its head, before its body is read. */
export interface AcceptedCall {
  /** Maximum length of its body in bytes. */
  maxBodyBytes: number
  /**
   * Starts the call, which then writes its answer.
   *
   * @param body - the complete body
   * @param response - response to the caller, owned by the call from now on
   * @throws the reason why the call cannot be started
   */
  start: (body: Buffer, request: IncomingMessage, response: ServerResponse) => Promise<void> | void
}

/** Accepts or refuses calls. */
export abstract class CallHost<Call extends CallHead> {
  /**
   * Finds the route and the team of a call.
   *
   * @param arrivedMs - time of the clock at which the head arrived, in milliseconds
   * @throws the reason why the call is refused
   */
  abstract accept (call: Call, arrivedMs: number): AcceptedCall

  /** @returns whether the process is leaving, so that connections close after the answers sent now */
  abstract isLeaving (): boolean

  /**
   * Records a call that was refused, or that failed while starting.
   *
   * @param call - the call; `undefined` if its head could not be read
   */
  abstract recordRefusal (call: Call | undefined, error: KindError): void

  /** @returns delay before a refused caller should retry, in milliseconds; `undefined` for that of the error kind */
  abstract getRetryAfterMs (): number | undefined
}
