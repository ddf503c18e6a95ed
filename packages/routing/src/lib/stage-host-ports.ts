/**
 * What a stage host needs from its process: a transport for frames, limits, and what is known about requests and layers.
 */
import type { Clock, Journal, Metrics } from '@clementineloft/kernel'
import type { FreeCapacityFactorProvider } from './admission-control.js'
import type { ModelLayers } from './engine-reconciler.js'
import type { ExecutorOptions } from './engine-executor.js'
import type { TeamWeightProvider } from './fair-queue.js'
import type { Frame, Hop } from './frames.js'

/** Sends the frames of a stage host to entries and to other stages. */
export abstract class StageTransport {
  /** Sends a frame to the entry at the other end of a connection; does nothing if the connection is closed. */
  abstract sendToEntry (connection: string, frame: Frame): void
  /** Sends a frame to the next stage; a lost connection to it is reported through `StageHost.handleHopLost`. */
  abstract sendToStage (next: Hop, frame: Frame): void
  /**
   * Reports to the other instances that the engine crashed while requests with these fingerprints were running.
   *
   * @returns a promise that resolves when the report has been delivered, or after a time-out
   */
  abstract reportCrash (fingerprints: readonly string[]): Promise<void>
}

/** Limits of a stage host. */
export interface StageHostOptions extends ExecutorOptions {
  /** Maximum number of requests held at the same time. */
  maxSessions: number
  /** Maximum size of the outputs kept for each request, in bytes. */
  maxLogBytes: number
}

/** What a stage host needs from its process. */
export interface StageHostContext {
  /** Name of the endpoint. */
  endpoint: string
  clock: Clock
  journal: Journal
  metrics: Metrics
  getWeight: TeamWeightProvider
  getFreeCapacityFactor: FreeCapacityFactorProvider
  /** @returns number of requests that the endpoint may hold within the target for the time between tokens */
  getCapacity: () => number
  /** @returns whether the engine has loaded the layers that a request needs */
  hasLayers: (layers: ModelLayers) => boolean
  /** @returns whether a request with this fingerprint was running when an engine crashed */
  isSuspect: (fingerprint: string) => boolean
  /** @returns whether every endpoint refuses requests with this fingerprint */
  isQuarantined: (fingerprint: string) => boolean
}
