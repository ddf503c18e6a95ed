/**
 * A plain service beside a sidecar, as the gate sees it.
 */
import { CallRunner } from '@clementineloft/coordination'
import type { GuardedCall } from '@clementineloft/coordination'

/** A call to forward. */
export interface ServiceCall extends GuardedCall {
  team: string
  service: string
  method: string
  /** Time after which the answer is of no use, in milliseconds from the arrival. */
  deadlineMs: number
  /** Path and query within the service. */
  path: string
  /** Names and values by turns. */
  headers: string[]
  body: Uint8Array
}

/** The answer of a plain service. The body is base64, so that the answer can be kept as JSON. */
export interface ServiceAnswer {
  status: number
  /** Names and values by turns. */
  headers: string[]
  body: string
}

/** Forwards calls to a plain service. */
export abstract class PlainService extends CallRunner<ServiceCall, ServiceAnswer> {}
