/**
 * Protocol interface of an entry that forwards complete calls: parses callers' requests into typed calls, writes the
 * headers of calls to endpoints, and reads the heads of their answers. An implementation translates and holds no policy.
 */
import type { IncomingMessage } from 'node:http'
import type { PathPart, RequestSize } from '@clementineloft/routing'
import type { ForwardedHead } from '../callers/answer-writer.js'
import { CallerProtocol } from '../callers/caller-protocol.js'
import type { CallHead } from '../callers/caller-protocol.js'

/** A call as its caller sent it. */
export interface ForwardedCall extends CallHead {
  /** Host of the request, without its port. */
  host: string
  /** Caller's timeout for the call, in milliseconds. */
  callerTimeoutMs?: number
  /** Expected size, for calls of model services. */
  size?: RequestSize
  /** Identities of the parts of the prompt that other calls may have too, in order. */
  sharedParts?: string[]
  /** Id of the last event that the caller has received, for a resumed stream. */
  lastEventId?: string
  /** Headers to forward: names and values alternate. */
  headers: string[]
}

/** Parameters of sending a call to an endpoint. */
export interface Delivery {
  /** Identity of the intended endpoint; any other must not run the call. */
  endpointId: string
  /** Time until the call's deadline, in milliseconds. */
  remainingMs: number
  /** Team of the caller, if teams are configured. */
  team?: string
  /** Parts of the path, for model services. */
  parts?: PathPart[]
  /** Id of the event after which the stream resumes. */
  lastEventId?: string
  /** Priority rank at the endpoint; 0 is the most urgent. */
  rank?: number
  bodyBytes: number
}

/** Number of requests at an endpoint, as reported by the endpoint. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
}

/** Head of an endpoint's answer. */
export interface AnswerHead extends ForwardedHead {
  /** Whether the answer carries this call's id; bytes without one are evidence of nothing. */
  isForThisCall: boolean
  /** Whether the answer carries the signature of its endpoint, as every success does. */
  isSigned: boolean
  /** Whether the endpoint declares that it did not run the call. */
  isNotExecuted: boolean
  /** Whether the endpoint says that it is leaving and wants no new calls. */
  isLeaving: boolean
  /** Whether the answer is a stream of events. */
  isEventStream: boolean
  /** Whether the answer comes from an endpoint other than the intended one. */
  isFromOtherEndpoint: boolean
  /** Address of the endpoint of the path that failed, if the answer names it. */
  failedAddress?: string
  load?: ReportedLoad
  /** Time for which the endpoint wants no calls of this entry, in milliseconds, if its refusal says so. */
  pauseMs?: number
}

/** Protocol towards callers and endpoints. */
export abstract class CallProtocol extends CallerProtocol<ForwardedCall> {
  /** @returns headers of the call to an endpoint; names and values alternate */
  abstract createHeaders (call: ForwardedCall, delivery: Delivery): string[]

  /** @returns the parsed head of an endpoint's answer */
  abstract readHead (call: ForwardedCall, response: IncomingMessage): AnswerHead
}
