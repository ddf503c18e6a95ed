/**
 * The sidecar of a model engine: transfers frames between entries, other sidecars and the stage host.
 */
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { FencedLease } from '@clementineloft/coordination'
import { createIdentifier } from '@clementineloft/kernel'
import { EngineReconciler, StageHost, StageTransport } from '@clementineloft/routing'
import type { Frame, Hop, ModelLayers } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import { modelEngines, loadableEngines } from '../adapters/adapters.js'
import { computeFreeCapacityFactor, computeCapacity, computeWeight } from '../operators/config-document.js'
import { FrameBatcher } from './frame-batcher.js'
import { sidecarService } from '../peers/grpc-services.js'
import { LinkListener, LinkPool } from './link-pool.js'
import type { ProcessRuntime } from '../peers/process-runtime.js'
import type { SidecarSettings } from '../settings/settings-schema.js'

const crashReportTimeoutMs = 300

type EngineSettings = NonNullable<SidecarSettings['engine']>

type Connection = ServerDuplexStream<wire.Batch, wire.IBatch>

/** Reports lost links to next stages. Frames and headers that arrive on these links are ignored. */
class HopLinkListener extends LinkListener {
  constructor (private readonly reportLost: (endpoint: string) => void) {
    super()
  }

  override handleFrame (): void {}

  override handleHeader (): void {}

  override handleLost (endpoint: string): void {
    this.reportLost(endpoint)
  }
}

/** Serves one model endpoint. */
export class StageSidecar extends StageTransport {
  private readonly host: StageHost
  private readonly nextStageLinks: LinkPool
  private readonly connections = new Map<string, FrameBatcher>()
  private readonly orders: EngineReconciler | undefined

  constructor (
    private readonly runtime: ProcessRuntime,
    settings: EngineSettings
  ) {
    super()
    const { context, channelCredentials } = runtime
    const { clock, journal, metrics, replica, crashes } = context
    const engine = modelEngines.get(settings.adapter)(settings.url, settings.step_timeout_ms, clock)
    this.host = new StageHost(
      {
        endpoint: context.settings.instance.name,
        clock,
        journal,
        metrics,
        getWeight: (team) => computeWeight(replica.getDocument()?.teams[team]),
        getFreeCapacityFactor: (team) => computeFreeCapacityFactor(replica.getDocument()?.teams[team]),
        getCapacity: () => computeCapacity(replica.getDocument()?.endpoints[context.settings.instance.name], settings.token_interval_ms),
        hasLayers: (layers) => this.orders?.isLoaded(layers) ?? true,
        isSuspect: (fingerprint) => crashes.isSuspect(fingerprint),
        isQuarantined: (fingerprint) => crashes.isQuarantined(fingerprint)
      },
      engine,
      this,
      {
        maxBatch: settings.max_batch,
        maxChunk: settings.max_chunk,
        stepTimeoutMs: settings.step_timeout_ms,
        fairness: { burstCredit: settings.burst_credit, quantum: settings.quantum },
        maxSessions: settings.max_sessions,
        maxLogBytes: settings.max_log_bytes
      }
    )
    this.orders = settings.takes_orders ? this.createOrders(settings) : undefined
    void this.orders?.run()
    this.nextStageLinks = new LinkPool(context, channelCredentials, new HopLinkListener((endpoint) => { this.host.handleHopLost(endpoint) }))
    runtime.addService(sidecarService, {
      connect: (stream: Connection) => { this.acceptConnection(stream) }
    })
    metrics.registerGauge('stage_sessions', () => this.host.countSessions())
    metrics.registerGauge('stage_load', () => this.host.getLoad())
    metrics.registerGauge('stage_backlog', () => this.host.getBacklog())
    metrics.registerGauge('stage_log_bytes', () => this.host.getLogBytes())
  }

  /** @param isLeaving - whether the sidecar is leaving and refuses new requests */
  setLeaving (isLeaving: boolean): void {
    this.host.setLeaving(isLeaving)
  }

  /** Evicts all requests still held, so that the entries move them to other endpoints. */
  evictAll (): void {
    this.host.evictAll()
  }

  /** @returns number of requests held */
  countInFlight (): number {
    return this.host.countSessions()
  }

  override sendToEntry (connection: string, frame: Frame): void {
    this.connections.get(connection)?.add(frame)
  }

  override sendToStage (next: Hop, frame: Frame): void {
    this.nextStageLinks.send(next.endpoint, next.address, frame)
  }

  override async reportCrash (fingerprints: readonly string[]): Promise<void> {
    const { context } = this.runtime
    const endpoint = context.settings.instance.name
    const report = this.runtime.broadcastCrash({ endpoint, fingerprints: [...fingerprints] })
    await Promise.race([report, context.clock.wait(crashReportTimeoutMs)])
  }

  private createOrders (settings: EngineSettings): EngineReconciler {
    const { context, store } = this.runtime
    const { clock, incarnation, journal, replica } = context
    const endpoint = context.settings.instance.name
    const lease = new FencedLease(store, `leases/${endpoint}`, clock, incarnation)
    const engine = loadableEngines.get(settings.adapter)(settings.url, settings.step_timeout_ms)
    const getTargetLayers = (): ModelLayers | undefined => {
      const { model, firstLayer = 0, lastLayer = 0 } = replica.getDocument()?.endpoints[endpoint] ?? {}
      return model === undefined ? undefined : { model, firstLayer, lastLayer }
    }
    const orders = new EngineReconciler(endpoint, engine, async () => await lease.confirm(), getTargetLayers, clock, journal)
    replica.subscribe(() => { void orders.reconcile() })
    this.runtime.admin.addReadinessCheck(() => {
      const target = getTargetLayers()
      return target === undefined || orders.isLoaded(target)
    })
    return orders
  }

  private acceptConnection (stream: Connection): void {
    const { context } = this.runtime
    const connection = createIdentifier()
    this.connections.set(connection, new FrameBatcher((frames) => {
      if (!stream.destroyed && !stream.cancelled) stream.write({ header: context.createHeader(this.host.getLoad()), frames })
    }))
    stream.on('data', (batch: wire.Batch) => {
      context.mergeHeader(batch.header)
      for (const frame of batch.frames) this.host.handleFrame(connection, frame as Frame)
    })
    let isEnded = false
    const endConnection = (): void => {
      if (isEnded) return
      isEnded = true
      this.connections.delete(connection)
      this.host.handleConnectionLost(connection)
      if (!stream.cancelled) stream.end()
    }
    stream.on('end', endConnection)
    stream.on('cancelled', endConnection)
    stream.on('error', endConnection)
  }
}
