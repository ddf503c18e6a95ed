/**
 * What a protocol gives an entry that forwards calls whole: calls as typed values on the callers' side, and headers and
 * answers on the endpoints' side. A protocol translates and decides nothing.
 */
import type { IncomingMessage } from 'node:http'
import type { PathPart, RequestSize } from '@clementineloft/routing'
import type { PassedHead } from '../callers/answer-writer.js'
import { CallerProtocol } from '../callers/caller-protocol.js'
import type { CallHead } from '../callers/caller-protocol.js'

/** A call as its caller sent it. */
export interface ForwardedCall extends CallHead {
  /** Host that the caller named, without a port. */
  host: string
  /** Milliseconds that the caller will wait. */
  patienceMs?: number
  /** Size, for calls of model services. */
  size?: RequestSize
  /** Last event that the caller already has, for a stream that goes on. */
  lastEventId?: string
  /** Headers to pass on: names and values by turns. */
  headers: string[]
}

/** How a call is sent to an endpoint. */
export interface Delivery {
  /** Identity of the endpoint that is meant; any other must not run the call. */
  endpointId: string
  /** Milliseconds left for the call. */
  remainingMs: number
  /** Team of the caller, if teams are in force. */
  team?: string
  /** Endpoints through which the call passes, for model services. */
  parts?: PathPart[]
  /** Event after which the stream goes on. */
  lastEventId?: string
  /** Rank at the endpoint; 0 is the most urgent. */
  rank?: number
  bodyBytes: number
}

/** Requests at an endpoint, as it says itself. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
}

/** What the head of an endpoint's answer says. */
export interface AnswerHead extends PassedHead {
  /** Whether the answer names this call, or no call at all; false for an answer to another call. */
  isOwn: boolean
  /** Whether the endpoint says that it did not run the call. */
  isNotRun: boolean
  /** Whether another endpoint than the one that was meant answered. */
  isOtherEndpoint: boolean
  /** Address of the part of the path at fault, if the answer names one. */
  faultAddress?: string
  load?: ReportedLoad
}

/** One protocol, towards callers and endpoints. */
export abstract class CallProtocol extends CallerProtocol<ForwardedCall> {
  /** @returns headers, names and values by turns, of the call on its way to an endpoint */
  abstract createHeaders (call: ForwardedCall, delivery: Delivery): string[]

  /** @returns what the head of an answer says */
  abstract readHead (call: ForwardedCall, response: IncomingMessage): AnswerHead
}
