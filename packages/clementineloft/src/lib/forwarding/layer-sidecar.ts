/**
 * Sidecar of a model endpoint: reconciles the endpoint's layers with the layout, reports the endpoint's state to all
 * entries, and competes for the lease that controls the layout.
 */
import type { KindReplica } from '@clementineloft/coordination'
import { Freshness } from '@clementineloft/coordination'
import { EngineReconciler, LayerTarget, LayoutGoal, WaitingTotals } from '@clementineloft/routing'
import type { LayerSpan, ModelLayers, ReportingEngine } from '@clementineloft/routing'
import { CrashRelay } from './crash-relay.js'
import type { LayerSidecarSettings } from './forwarding-settings.js'
import { layoutKind, readLayoutRecord } from './layer-layout-record.js'
import { LayoutController } from './layout-controller.js'
import type { PlatformPorts } from './platform-ports.js'
import { ForwardingProcess, WatchTimeoutMs } from './forwarding-process.js'
import type { ReportRequest } from './report-codec.js'
import { ReportSender } from './report-datagrams.js'

/** Time between two checks of the endpoint, in milliseconds; its exit or restart is detected within this time. */
const checkIntervalMs = 300

/** Source from which a sidecar received its endpoint's assignment. */
const LayoutSource = {
  store: 'store',
  leaseHolder: 'lease-holder'
} as const
type LayoutSource = typeof LayoutSource[keyof typeof LayoutSource]

/** Controls one endpoint. */
class LayerSidecar {
  private readonly processContext: ForwardingProcess
  private readonly engine: ReportingEngine
  private readonly orders: EngineReconciler
  private readonly reports: ReportSender
  private readonly crashes: CrashRelay
  private readonly waiting: WaitingTotals
  private readonly layouts: KindReplica
  private readonly layoutController: LayoutController
  private readonly layerTarget = new LayerTarget()
  private isStopped = false

  constructor (
    private readonly settings: LayerSidecarSettings,
    ports: PlatformPorts
  ) {
    this.processContext = new ForwardingProcess(settings, ports)
    const { clock, journal, incarnation } = this.processContext
    const { address, service } = settings.endpoint
    this.engine = ports.createEngine(address, service)
    this.orders = new EngineReconciler(settings.instance.name, this.engine, async () => this.layerTarget.getRevision(), () => this.getLoadTarget(), clock, journal)
    this.reports = new ReportSender(settings.instance.reports_address, incarnation, clock, journal, (request, sender) => { this.handleRequest(request, sender) })
    this.crashes = new CrashRelay(clock, (notices) => { this.reports.sendCrashes(address, notices) })
    this.waiting = new WaitingTotals(clock)
    this.layouts = this.processContext.follow(layoutKind, (replica) => { this.applyStoredLayout(replica) }, Freshness.stale, WatchTimeoutMs.long)
    this.layoutController = new LayoutController(this.processContext, service, address, this.layouts, settings.layout?.goal ?? LayoutGoal.memory)
  }

  start (): void {
    this.registerGauges()
    this.processContext.listenForMetrics()
    void this.followEndpoint()
    this.layoutController.start()
    this.processContext.journal.record({ name: 'started', data: { role: 'sidecar', incarnation: this.processContext.incarnation } })
  }

  async stop (): Promise<void> {
    this.isStopped = true
    await this.layoutController.stop()
    this.layouts.stop()
    this.reports.close()
    this.processContext.journal.record({ name: 'stopped' })
  }

  private registerGauges (): void {
    const { metrics } = this.processContext
    metrics.registerGauge('layout_groups', () => this.layoutController.describe()?.groups ?? 0)
    metrics.registerGauge('layout_spares', () => this.layoutController.describe()?.spares ?? 0)
    metrics.registerGauge('layout_fewest_copies', () => this.layoutController.describe()?.fewestCopies ?? 0)
  }

  private getLoadTarget (): ModelLayers | undefined {
    const span = this.layerTarget.getSpan()
    return span === undefined ? undefined : { model: this.settings.endpoint.service, firstLayer: span.from, lastLayer: span.to - 1 }
  }

  private applyStoredLayout (replica: KindReplica): void {
    const { address, service } = this.settings.endpoint
    const object = replica.find(service)
    if (object === undefined) return
    const { assignments, revision } = readLayoutRecord(object)
    this.applyLayout(revision, assignments.find((assignment) => assignment.address === address), LayoutSource.store)
  }

  private handleRequest ({ address, assignment, crashes, waiting }: ReportRequest, sender: string): void {
    if (crashes !== undefined) this.crashes.receive(crashes)
    if (address !== this.settings.endpoint.address) return
    this.waiting.record(sender, waiting ?? [])
    if (assignment === undefined) return
    this.applyLayout(assignment.revision, assignment.span, LayoutSource.leaseHolder)
  }

  private applyLayout (revision: number, span: LayerSpan | undefined, source: LayoutSource): void {
    if (!this.layerTarget.apply(revision, span)) return
    this.processContext.journal.record({ name: 'layout-applied', data: { revision, from: span?.from ?? 0, to: span?.to ?? 0, source } })
  }

  private async followEndpoint (): Promise<void> {
    while (!this.isStopped) {
      await this.orders.reconcile()
      // A second attempt, so that one slow answer is not reported as silence.
      if (this.engine.getReport() === undefined) await this.orders.reconcile()
      this.reports.send(
        this.settings.endpoint.address, this.engine.getReport(), this.layoutController.getChecksums(), this.crashes.listNextNotices(), this.waiting.findSums()
      )
      await this.processContext.clock.wait(checkIntervalMs)
    }
  }
}

/**
 * Starts a sidecar process.
 *
 * @returns a function that shuts the process down
 */
export const runLayerSidecar = async (settings: LayerSidecarSettings, ports: PlatformPorts): Promise<() => Promise<void>> => {
  const sidecar = new LayerSidecar(settings, ports)
  sidecar.start()
  return async () => { await sidecar.stop() }
}
