/**
 * A call whose route and team are known.
 */
import type { CallRoute } from '@clementineloft/routing'
import type { ForwardedCall } from './call-protocol.js'

/** A call that may be sent to an endpoint. */
export interface AdmittedCall {
  call: ForwardedCall
  route: CallRoute
  service: string
  team?: string
  /** Rank of the call's terms; 0 is the most urgent. */
  rank: number
  body: Buffer
  /** When the caller's request arrived, in milliseconds of the clock. */
  arrivedMs: number
}
