/**
 * The sidecar beside a model endpoint that holds layers: keeps what the endpoint holds equal to the layout, reports its
 * state to all entries, and takes part in keeping the layout.
 */
import type { KindReplica } from '@clementineloft/coordination'
import { Freshness } from '@clementineloft/coordination'
import { EngineOrders, LayerTarget } from '@clementineloft/routing'
import type { LayerSpan, LoadedLayers, ReportingEngine } from '@clementineloft/routing'
import type { LayerSidecarSettings } from './forwarding-settings.js'
import { layoutKind, readLayoutRecord } from './layer-layout-record.js'
import { LayoutKeeper } from './layout-keeper.js'
import type { PlatformPorts } from './platform-ports.js'
import { ProcessParts, WatchWait } from './process-parts.js'
import type { ReportRequest } from './report-codec.js'
import { ReportSender } from './report-datagrams.js'

/** Time between two looks at the endpoint, in milliseconds; its end or new start is noticed within this time. */
const checkMs = 300

/** Who told a sidecar of its endpoint's layers. */
const LayoutSource = {
  store: 'store',
  leaseHolder: 'lease-holder'
} as const
type LayoutSource = typeof LayoutSource[keyof typeof LayoutSource]

/** Guards one endpoint. */
class LayerSidecar {
  private readonly parts: ProcessParts
  private readonly engine: ReportingEngine
  private readonly orders: EngineOrders
  private readonly reports: ReportSender
  private readonly layouts: KindReplica
  private readonly keeper: LayoutKeeper
  private readonly target = new LayerTarget()
  private isStopped = false

  constructor (
    private readonly settings: LayerSidecarSettings,
    ports: PlatformPorts
  ) {
    this.parts = new ProcessParts(settings, ports)
    const { clock, journal, incarnation } = this.parts
    const { address, service } = settings.endpoint
    this.engine = ports.createEngine(address, service)
    this.orders = new EngineOrders(settings.instance.name, this.engine, async () => this.target.getRevision(), () => this.getLoadTarget(), clock, journal)
    this.reports = new ReportSender(settings.instance.reports_address, incarnation, clock, journal, (request) => { this.handleRequest(request) })
    this.layouts = this.parts.follow(layoutKind, (replica) => { this.readLayout(replica) }, Freshness.stale, WatchWait.patient)
    this.keeper = new LayoutKeeper(this.parts, service, address, this.layouts)
  }

  start (): void {
    this.parts.listenForMetrics()
    void this.followEndpoint()
    this.keeper.start()
    this.parts.journal.record({ name: 'started', data: { role: 'sidecar', incarnation: this.parts.incarnation } })
  }

  async stop (): Promise<void> {
    this.isStopped = true
    await this.keeper.stop()
    this.layouts.stop()
    this.reports.close()
    this.parts.journal.record({ name: 'stopped' })
  }

  private getLoadTarget (): LoadedLayers | undefined {
    const span = this.target.getSpan()
    return span === undefined ? undefined : { model: this.settings.endpoint.service, firstLayer: span.from, lastLayer: span.to - 1 }
  }

  private readLayout (replica: KindReplica): void {
    const { address, service } = this.settings.endpoint
    const object = replica.find(service)
    if (object === undefined) return
    const { assignments, revision } = readLayoutRecord(object)
    this.applyLayout(revision, assignments.find((assignment) => assignment.address === address), LayoutSource.store)
  }

  private handleRequest ({ address, assignment }: ReportRequest): void {
    if (assignment === undefined || address !== this.settings.endpoint.address) return
    this.applyLayout(assignment.revision, assignment.span, LayoutSource.leaseHolder)
  }

  private applyLayout (revision: number, span: LayerSpan | undefined, source: LayoutSource): void {
    if (!this.target.apply(revision, span)) return
    this.parts.journal.record({ name: 'layout-applied', data: { revision, from: span?.from ?? 0, to: span?.to ?? 0, source } })
  }

  private async followEndpoint (): Promise<void> {
    while (!this.isStopped) {
      await this.orders.reconcile()
      // Asked twice, so that one slow answer is not taken for silence.
      if (this.engine.getReport() === undefined) await this.orders.reconcile()
      this.reports.send(this.settings.endpoint.address, this.engine.getReport(), this.keeper.getChecksums())
      await this.parts.clock.wait(checkMs)
    }
  }
}

/**
 * Starts a sidecar.
 *
 * @returns a function that shuts it down
 */
export const runLayerSidecar = async (settings: LayerSidecarSettings, ports: PlatformPorts): Promise<() => Promise<void>> => {
  const sidecar = new LayerSidecar(settings, ports)
  sidecar.start()
  return async () => { await sidecar.stop() }
}
