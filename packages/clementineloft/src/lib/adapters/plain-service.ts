/**
 * Port of a plain service that runs beside a sidecar; the call gate forwards calls through it.
 */
import { CallRunner } from '@clementineloft/coordination'
import type { GuardedCall } from '@clementineloft/coordination'

/** A call to forward. */
export interface ServiceCall extends GuardedCall {
  team: string
  service: string
  method: string
  /** Time limit of the call, in milliseconds from its arrival. */
  deadlineMs: number
  /** Path and query within the service. */
  path: string
  /** Names and values, alternating. */
  headers: string[]
  body: Uint8Array
}

/** Answer of a plain service. The body is encoded in base64, so that the answer can be stored as JSON. */
export interface ServiceAnswer {
  status: number
  /** Names and values, alternating. */
  headers: string[]
  body: string
}

/** Forwards calls to a plain service. */
export abstract class PlainService extends CallRunner<ServiceCall, ServiceAnswer> {
  /** @returns whether the service has ended and not started again; false if that is unknown */
  abstract hasEnded (): Promise<boolean>
}
