/**
 * A call of a plain service that the entry routes to an endpoint.
 */
import type { clementineloft as wire } from '../../../generated/wire.js'
import type { ServiceConfig } from '../operators/config-document.js'

/** One call, with its wire message and its limits. */
export interface RoutedCall {
  service: string
  config: ServiceConfig
  /** Name of the calling team. */
  team: string
  /** Identity of the call. */
  request: string
  message: wire.ICallRequest
  isIdempotent: boolean
  /** The idempotency key; empty for none. */
  key: string
  /** Deadline for the answer, as a time of the process's clock in milliseconds. */
  deadlineMs: number
}
