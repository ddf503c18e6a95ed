/**
 * A call that has been admitted: its route, service and team are known.
 */
import type { CallRoute } from '@clementineloft/routing'
import type { ForwardedCall } from './call-protocol.js'

/** A call that may be sent to an endpoint. */
export interface AdmittedCall {
  call: ForwardedCall
  route: CallRoute
  service: string
  team?: string
  /** Priority rank of the team or route; 0 is the most urgent. */
  rank: number
  body: Buffer
  /** What identifies the call to the quarantine: first its fingerprint, then its shared prompt parts. */
  traits: readonly string[]
  /** When the caller's request arrived, in milliseconds of the clock. */
  arrivedMs: number
}
