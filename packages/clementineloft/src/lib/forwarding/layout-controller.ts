/**
 * Controls the layer layout of one service while this process holds the service's lease.
 *
 * The sidecars of a service compete for the lease. Its holder follows the endpoints, the configuration and the reports
 * of all sidecars, plans the layout and writes it to the store. If the holder fails, another sidecar takes the lease once
 * it has expired.
 */
import type { KindObject, KindReplica } from '@clementineloft/coordination'
import { Freshness, rankCandidates, TimedLease } from '@clementineloft/coordination'
import { ErrorKind, getErrorKind, getErrorMessage } from '@clementineloft/kernel'
import { chooseLayoutGoal, describeLayout, LayoutPolicy } from '@clementineloft/routing'
import type { CallEndpoint, EngineConfig, LayoutDescription, LayoutGoal } from '@clementineloft/routing'
import { createLayoutSpec, layoutKind, leaseKind, listAssignmentRequests, readLayoutRecord } from './layer-layout-record.js'
import type { ForwardingProcess } from './forwarding-process.js'
import { ReportReceiver } from './report-datagrams.js'
import type { ReplicaChecksums } from './report-codec.js'

/** Time without a renewal after which another sidecar may take the lease, in milliseconds. */
const leaseDurationMs = 2400
/** Time between two renewals, in milliseconds: two of them may be lost before the lease expires. */
const renewalIntervalMs = 700
/** Time between two reads of a lease held by another sidecar, in milliseconds: for standbys, and for all others. */
const PollIntervalMs = { next: 800, others: 5000 } as const
/** Number of standbys. If more sidecars than this fail at once, failover takes the longer poll interval. */
const standbyCount = 5
/** Time between two planning runs of the lease holder, in milliseconds. */
const decisionIntervalMs = 400
/** Maximum time that a stop waits for the lease's release, in milliseconds: one planning run and one slow store reply. */
const stopTimeoutMs = 1000

/** Competes for the lease of one service, and plans its layout while it holds the lease. */
export class LayoutController {
  private readonly lease: TimedLease
  private policy = new LayoutPolicy()
  private engine: EngineConfig | undefined
  private endpoints: CallEndpoint[] = []
  private readonly silent = new Set<string>()
  private reports: ReportReceiver | undefined
  private replicas: KindReplica[] = []
  /** The layout that this process wrote last, which the watch delivers only later. */
  private lastWrittenLayout: KindObject | undefined
  private isStopped = false
  private ended: Promise<void> = Promise.resolve()

  constructor (
    private readonly processContext: ForwardingProcess,
    private readonly service: string,
    private readonly ownAddress: string,
    private readonly layouts: KindReplica,
    private readonly configuredGoal: LayoutGoal
  ) {
    const { store, incarnation, clock } = processContext
    this.lease = new TimedLease(store, leaseKind, service, incarnation, leaseDurationMs, clock)
  }

  /** Starts to compete for the lease. */
  start (): void {
    this.ended = this.run()
  }

  /** Stops and releases the lease, so that another sidecar takes over at once. Waits a limited time for the store. */
  async stop (): Promise<void> {
    this.isStopped = true
    const wasHeld = this.lease.isHeld()
    this.stopWatching()
    if (wasHeld) await Promise.race([this.ended, this.processContext.clock.wait(stopTimeoutMs)])
  }

  private async run (): Promise<void> {
    const { clock, random, journal } = this.processContext
    await clock.wait(random.next() * renewalIntervalMs)
    let wasHeld = false
    while (!this.isStopped) {
      const isHeld = await this.advanceLease()
      if (isHeld !== wasHeld) {
        journal.record({ name: isHeld ? 'lease-taken' : 'lease-lost', data: { lease: this.service } })
        if (isHeld && !this.isStopped) this.startWatching()
        else this.stopWatching()
      }
      wasHeld = isHeld
      if (isHeld) await this.decideUntilRenewal()
      else await clock.wait(this.getPollInterval() * (0.75 + random.next() / 2))
    }
    await this.releaseLease()
  }

  /** @returns numbers of the latest layout that this process knows; `undefined` if it knows none or does not hold the lease */
  describe (): LayoutDescription | undefined {
    const object = this.findLayout()
    if (object === undefined || this.engine === undefined || !this.lease.isHeld()) return undefined
    return describeLayout(readLayoutRecord(object).assignments, this.engine.layers)
  }

  private async releaseLease (): Promise<void> {
    const { journal } = this.processContext
    if (!this.lease.isHeld()) return
    try {
      await this.lease.release()
      journal.record({ name: 'lease-released', data: { lease: this.service } })
    } catch (error) {
      journal.record({ name: 'lease-unreleased', detail: getErrorMessage(error) })
    }
  }

  /** @returns checksums of the endpoint list and the configuration; `undefined` unless this process follows both */
  getChecksums (): ReplicaChecksums | undefined {
    const [endpoints, config] = this.replicas
    if (endpoints?.hasListed() !== true || config?.hasListed() !== true) return undefined
    return { endpoints: endpoints.computeChecksum(), config: config.computeChecksum() }
  }

  /** Ranks the sidecars in the same order on every instance, so that only the standbys poll the store often. */
  private getPollInterval (): number {
    const object = this.layouts.find(this.service)
    if (object === undefined) return PollIntervalMs.next
    const addresses = readLayoutRecord(object).assignments.map((assignment) => assignment.address)
    const rank = rankCandidates(this.service, addresses).indexOf(this.ownAddress)
    return rank !== -1 && rank < standbyCount ? PollIntervalMs.next : PollIntervalMs.others
  }

  private async advanceLease (): Promise<boolean> {
    try {
      return await this.lease.renewOrAcquire()
    } catch (error) {
      this.processContext.journal.record({ name: 'lease-unknown', detail: getErrorMessage(error) })
      return this.lease.isHeld()
    }
  }

  private startWatching (): void {
    this.policy = new LayoutPolicy()
    this.replicas = [
      this.processContext.followEndpoints((endpoints) => { this.endpoints = endpoints.filter((endpoint) => endpoint.service === this.service) }, Freshness.latest),
      this.processContext.followConfig((config) => {
        this.engine = config.services.find((service) => service.name === this.service)?.engine
      }, Freshness.latest)
    ]
    const [host, port] = this.processContext.settings.instance.reports_address.split(':') as [string, string]
    this.reports = new ReportReceiver(
      `${host}:${Number(port) + 1}`, () => listAssignmentRequests(this.findLayout(), this.endpoints), Number(port),
      ({ address, report }) => {
        if (report === undefined) this.silent.add(address)
        else this.silent.delete(address)
      },
      this.processContext.journal
    )
  }

  private stopWatching (): void {
    for (const replica of this.replicas) replica.stop()
    this.replicas = []
    this.reports?.close()
    this.reports = undefined
    this.silent.clear()
  }

  /** @returns the latest layout known to this process, whether it was read or written here */
  private findLayout (): KindObject | undefined {
    const stored = this.layouts.find(this.service)
    return (this.lastWrittenLayout?.revision ?? 0) > (stored?.revision ?? 0) ? this.lastWrittenLayout : stored
  }

  private async decideUntilRenewal (): Promise<void> {
    const { clock } = this.processContext
    const untilMs = clock.now() + renewalIntervalMs
    while (clock.now() < untilMs && !this.isStopped) {
      if (this.lease.isHeld() && this.replicas[0]?.hasListed() === true && this.layouts.hasListed()) await this.decide()
      await clock.wait(decisionIntervalMs)
    }
  }

  private async decide (): Promise<void> {
    const { service } = this
    const { clock, store, journal } = this.processContext
    if (this.engine === undefined) return
    const object = this.findLayout()
    const current = object === undefined ? undefined : readLayoutRecord(object)
    const goal = chooseLayoutGoal(current, this.configuredGoal)
    const engine = { ...this.engine, goal }
    this.policy.observe(this.endpoints, this.silent, engine, clock.now())
    const next = this.policy.decide(current?.assignments, engine, clock.now())
    if (next === undefined) return
    const spec = createLayoutSpec(next, goal)
    if (JSON.stringify(spec) === JSON.stringify(object?.spec)) return
    try {
      this.lastWrittenLayout = object === undefined
        ? await store.create(layoutKind, service, spec)
        : await store.replace(layoutKind, service, spec, object.revision)
      this.reports?.renewSubscriptions()
      journal.record({
        name: 'layout-written',
        data: { revision: this.lastWrittenLayout.revision, assignments: next.length, ...describeLayout(next, engine.layers), goal }
      })
      await clock.wait(renewalIntervalMs)
    } catch (error) {
      const isConflict = getErrorKind(error) === ErrorKind.conflict
      journal.record({ name: isConflict ? 'layout-conflict' : 'layout-unwritten', detail: getErrorMessage(error) })
      await clock.wait(renewalIntervalMs)
    }
  }
}
