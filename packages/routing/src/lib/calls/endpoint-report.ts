/**
 * What a model endpoint says of itself to the sidecar beside it, and the sidecar to the entries.
 */
import { OrderedEngine } from '../engine-orders.js'
import type { LayerSpan } from './call-endpoint.js'

/** The state of one endpoint at one moment. */
export interface EndpointReport {
  /** When this start of the endpoint happened, in milliseconds since the epoch. */
  bornMs: number
  /** Layers that it holds; absent if none. */
  layers?: LayerSpan
  /** Requests that run and that wait there. */
  active: number
  queued: number
  /** Memory for requests, taken and in all, in tokens times layers. */
  usedTokenLayers: number
  totalTokenLayers: number
  /** How many times slower than its type it runs; 1 is usual. */
  pace: number
}

/** An engine that takes orders and reports its state. */
export abstract class ReportingEngine extends OrderedEngine {
  /** @returns the report that {@link readLoaded} read last; `undefined` if the endpoint did not answer */
  abstract getReport (): EndpointReport | undefined
}
