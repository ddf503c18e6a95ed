/**
 * Work at one model endpoint as known to one entry.
 */
import type { EndpointReport } from '../calls/endpoint-report.js'
import { SendingRate } from './sending-rate.js'
import type { SentWork } from './sending-rate.js'

/** Last report of an endpoint, and the work that this entry has sent to it. */
export interface EndpointWork {
  report: EndpointReport | undefined
  reportedMs: number
  /** Work that this entry has sent since the report. */
  sent: SentWork
  /** Mean rate at which this entry sends. */
  rate: SendingRate
  /** Requests of this entry in flight at the endpoint, and their memory in tokens times layers. */
  ownRequests: number
  ownTokenLayers: number
}

/** @returns the work of an endpoint to which nothing was sent */
export const createEndpointWork = (): EndpointWork => ({
  report: undefined,
  reportedMs: -Infinity,
  sent: { requests: 0, tokenLayers: 0 },
  rate: new SendingRate(),
  ownRequests: 0,
  ownTokenLayers: 0
})
