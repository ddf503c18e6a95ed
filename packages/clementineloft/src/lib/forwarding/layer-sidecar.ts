/**
 * The sidecar beside a model endpoint that holds layers: keeps what the endpoint holds equal to the layout, reports its
 * state to all entries, and takes part in keeping the layout.
 */
import type { KindReplica } from '@clementineloft/coordination'
import { Freshness } from '@clementineloft/coordination'
import { EngineOrders } from '@clementineloft/routing'
import type { LoadedLayers, ReportingEngine } from '@clementineloft/routing'
import type { LayerSidecarSettings } from './forwarding-settings.js'
import { layoutKind, readLayoutRecord } from './layer-layout-record.js'
import { LayoutKeeper } from './layout-keeper.js'
import type { PlatformPorts } from './platform-ports.js'
import { ProcessParts, WatchWait } from './process-parts.js'
import { ReportSender } from './report-datagrams.js'

/** Time between two looks at the endpoint, in milliseconds; its end or new start is noticed within this time. */
const checkMs = 300

/** Guards one endpoint. */
class LayerSidecar {
  private readonly parts: ProcessParts
  private readonly engine: ReportingEngine
  private readonly orders: EngineOrders
  private readonly reports: ReportSender
  private readonly layouts: KindReplica
  private readonly keeper: LayoutKeeper
  private target: LoadedLayers | undefined
  private fence = 0
  private isStopped = false

  constructor (
    private readonly settings: LayerSidecarSettings,
    ports: PlatformPorts
  ) {
    this.parts = new ProcessParts(settings, ports)
    const { clock, journal, incarnation } = this.parts
    const { address, service } = settings.endpoint
    this.engine = ports.createEngine(address, service)
    this.orders = new EngineOrders(settings.instance.name, this.engine, async () => this.fence, () => this.target, clock, journal)
    this.reports = new ReportSender(settings.instance.reports_address, incarnation, clock, journal)
    this.layouts = this.parts.follow(layoutKind, (replica) => { this.applyLayout(replica) }, Freshness.stale, WatchWait.patient)
    this.keeper = new LayoutKeeper(this.parts, service, address, this.layouts)
  }

  start (): void {
    this.parts.listenForMetrics()
    void this.followEndpoint()
    void this.keeper.run()
    this.parts.journal.record({ name: 'started', data: { role: 'sidecar', incarnation: this.parts.incarnation } })
  }

  stop (): void {
    this.isStopped = true
    this.keeper.stop()
    this.layouts.stop()
    this.reports.close()
    this.parts.journal.record({ name: 'stopped' })
  }

  private applyLayout (replica: KindReplica): void {
    const { address, service } = this.settings.endpoint
    const object = replica.find(service)
    if (object === undefined || object.revision <= this.fence) return
    const { assignments, revision } = readLayoutRecord(object)
    const own = assignments.find((assignment) => assignment.address === address)
    this.fence = revision
    this.target = own === undefined ? undefined : { model: service, firstLayer: own.from, lastLayer: own.to - 1 }
    this.parts.journal.record({ name: 'layout-applied', data: { revision, from: own?.from ?? 0, to: own?.to ?? 0 } })
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
  return async () => { sidecar.stop() }
}
