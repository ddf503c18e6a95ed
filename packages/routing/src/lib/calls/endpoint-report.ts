/**
 * State that a model endpoint reports to its sidecar, and the sidecar to the entries.
 */
import { LoadableEngine } from '../engine-reconciler.js'
import type { LayerSpan } from './call-endpoint.js'

/** The state of one endpoint at one point in time. */
export interface EndpointReport {
  /** Start time of this incarnation of the endpoint, in milliseconds since the epoch. */
  bornMs: number
  /** Layers that it holds; absent if none. */
  layers?: LayerSpan
  /** Number of requests that run, and that are queued, at the endpoint. */
  active: number
  queued: number
  /** Request memory, used and total, in tokens times layers. */
  usedTokenLayers: number
  totalTokenLayers: number
  /** Slowdown relative to its accelerator type; 1 is normal. */
  pace: number
}

/** An engine that accepts orders and reports its state. */
export abstract class ReportingEngine extends LoadableEngine {
  /** @returns the report that {@link readLoaded} last read; `undefined` if the endpoint did not answer */
  abstract getReport (): EndpointReport | undefined
}
