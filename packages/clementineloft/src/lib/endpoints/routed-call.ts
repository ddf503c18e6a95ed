/**
 * A call of a plain service on its way to an endpoint.
 */
import type { clementineloft as wire } from '../../../generated/wire.js'
import type { ServiceConfig } from '../operators/config-document.js'

/** What an entry knows of one call. */
export interface RoutedCall {
  service: string
  config: ServiceConfig
  /** Name of the team that calls. */
  team: string
  /** Identity of the call. */
  request: string
  message: wire.ICallRequest
  isIdempotent: boolean
  /** The idempotency key; empty for none. */
  key: string
  /** Time on the process's clock by which the answer must be there, in milliseconds. */
  deadlineMs: number
}
