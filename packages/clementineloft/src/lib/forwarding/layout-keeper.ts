/**
 * Keeps the layout of one service up to date while this process holds the lease for it.
 */
import type { KindObject, KindReplica } from '@clementineloft/coordination'
import { Freshness, rankCandidates, TimedLease } from '@clementineloft/coordination'
import { ErrorKind, getErrorKind, getErrorMessage } from '@clementineloft/kernel'
import { countCopies, LayoutPolicy } from '@clementineloft/routing'
import type { CallEndpoint, EngineTerms } from '@clementineloft/routing'
import { createLayoutSpec, layoutKind, leaseKind, readLayoutRecord } from './layer-layout-record.js'
import type { ProcessParts } from './process-parts.js'
import { ReportReceiver } from './report-datagrams.js'
import type { ReplicaChecksums, ReportRequest } from './report-codec.js'

/** Time without a renewal after which the lease may be taken, in milliseconds. */
const leaseTermMs = 2400
/** Time between two renewals, in milliseconds: two may be lost within a term. */
const renewalMs = 700
/** Time between two looks at a lease that another holds, in milliseconds: for the next in line, and for all others. */
const LookInterval = { next: 800, others: 5000 } as const
/** Sidecars that are next in line; as many may be lost at once before it takes longer. */
const nextInLine = 5
/** Time between two decisions of the holder, in milliseconds. */
const decisionMs = 400
/** Longest time for which a stop waits until the lease is given up, in milliseconds: one decision and one answer of a slow store. */
const stopMs = 1000

/** Takes part in the lease of one service. */
export class LayoutKeeper {
  private readonly lease: TimedLease
  private policy = new LayoutPolicy()
  private engine: EngineTerms | undefined
  private endpoints: CallEndpoint[] = []
  private readonly silent = new Set<string>()
  private reports: ReportReceiver | undefined
  private followed: KindReplica[] = []
  /** The layout that this process wrote last; the watch brings it later. */
  private written: KindObject | undefined
  private isStopped = false
  private ended: Promise<void> = Promise.resolve()

  constructor (
    private readonly parts: ProcessParts,
    private readonly service: string,
    private readonly ownAddress: string,
    private readonly layouts: KindReplica
  ) {
    const { store, incarnation, clock } = parts
    this.lease = new TimedLease(store, leaseKind, service, incarnation, leaseTermMs, clock)
  }

  /** Begins to compete for the lease, and acts while it is held. */
  start (): void {
    this.ended = this.run()
  }

  /** Gives up the lease, so that another sidecar goes on, and ends; waits a short time for the store at most. */
  async stop (): Promise<void> {
    this.isStopped = true
    const wasHeld = this.lease.isHeld()
    this.end()
    if (wasHeld) await Promise.race([this.ended, this.parts.clock.wait(stopMs)])
  }

  private async run (): Promise<void> {
    const { clock, random, journal } = this.parts
    await clock.wait(random.next() * renewalMs)
    let wasHeld = false
    while (!this.isStopped) {
      const isHeld = await this.advanceLease()
      if (isHeld !== wasHeld) {
        journal.record({ name: isHeld ? 'lease-taken' : 'lease-lost', data: { lease: this.service } })
        if (isHeld && !this.isStopped) this.begin()
        else this.end()
      }
      wasHeld = isHeld
      if (isHeld) await this.decideUntilRenewal()
      else await clock.wait(this.getLookInterval() * (0.75 + random.next() / 2))
    }
    await this.releaseLease()
  }

  private async releaseLease (): Promise<void> {
    const { journal } = this.parts
    if (!this.lease.isHeld()) return
    try {
      await this.lease.release()
      journal.record({ name: 'lease-released', data: { lease: this.service } })
    } catch (error) {
      journal.record({ name: 'lease-unreleased', detail: getErrorMessage(error) })
    }
  }

  /** @returns checksums of the latest list and configuration; `undefined` unless this process follows them */
  getChecksums (): ReplicaChecksums | undefined {
    const [endpoints, config] = this.followed
    if (endpoints?.hasListed() !== true || config?.hasListed() !== true) return undefined
    return { endpoints: endpoints.computeChecksum(), config: config.computeChecksum() }
  }

  /** Ranks all sidecars of the layout alike, so that few of them ask the store often. */
  private getLookInterval (): number {
    const object = this.layouts.find(this.service)
    if (object === undefined) return LookInterval.next
    const addresses = readLayoutRecord(object).assignments.map((assignment) => assignment.address)
    const rank = rankCandidates(this.service, addresses).indexOf(this.ownAddress)
    return rank !== -1 && rank < nextInLine ? LookInterval.next : LookInterval.others
  }

  private async advanceLease (): Promise<boolean> {
    try {
      return await this.lease.advance()
    } catch (error) {
      this.parts.journal.record({ name: 'lease-unknown', detail: getErrorMessage(error) })
      return this.lease.isHeld()
    }
  }

  private begin (): void {
    this.policy = new LayoutPolicy()
    this.followed = [
      this.parts.followEndpoints((endpoints) => { this.endpoints = endpoints.filter((endpoint) => endpoint.service === this.service) }, Freshness.latest),
      this.parts.followConfig((config) => {
        this.engine = config.services.find((service) => service.name === this.service)?.engine
      }, Freshness.latest)
    ]
    const [host, port] = this.parts.settings.instance.reports_address.split(':') as [string, string]
    this.reports = new ReportReceiver(
      `${host}:${Number(port) + 1}`, () => this.listRequests(), Number(port),
      ({ address, report }) => {
        if (report === undefined) this.silent.add(address)
        else this.silent.delete(address)
      },
      this.parts.journal
    )
  }

  private end (): void {
    for (const replica of this.followed) replica.stop()
    this.followed = []
    this.reports?.close()
    this.reports = undefined
    this.silent.clear()
  }

  /** @returns the newest layout that this process knows */
  private findLayout (): KindObject | undefined {
    const read = this.layouts.find(this.service)
    return (this.written?.revision ?? 0) > (read?.revision ?? 0) ? this.written : read
  }

  /** Asks for the report of each endpoint, and tells its sidecar what the layout gives it. */
  private listRequests (): ReportRequest[] {
    const object = this.findLayout()
    const { revision, assignments } = object === undefined ? { revision: 0, assignments: [] } : readLayoutRecord(object)
    const spans = new Map(assignments.map(({ address, from, to }) => [address, { from, to }]))
    return this.endpoints.map(({ address }) => {
      const span = spans.get(address)
      return span === undefined ? { address } : { address, assignment: { revision, span } }
    })
  }

  private async decideUntilRenewal (): Promise<void> {
    const { clock } = this.parts
    const untilMs = clock.now() + renewalMs
    while (clock.now() < untilMs && !this.isStopped) {
      if (this.lease.isHeld() && this.followed[0]?.hasListed() === true && this.layouts.hasListed()) await this.decide()
      await clock.wait(decisionMs)
    }
  }

  private async decide (): Promise<void> {
    const { engine, service } = this
    const { clock, store, journal } = this.parts
    if (engine === undefined) return
    this.policy.observe(this.endpoints, this.silent, engine, clock.now())
    const object = this.findLayout()
    const present = object === undefined ? undefined : readLayoutRecord(object)
    const next = this.policy.decide(present?.assignments, engine, clock.now())
    if (next === undefined) return
    const spec = createLayoutSpec(next)
    if (JSON.stringify(spec) === JSON.stringify(object?.spec)) return
    try {
      this.written = object === undefined
        ? await store.create(layoutKind, service, spec)
        : await store.replace(layoutKind, service, spec, object.revision)
      this.reports?.ask()
      const fewestCopies = Math.min(...countCopies(next, engine.layers))
      journal.record({ name: 'layout-written', data: { revision: this.written.revision, assignments: next.length, fewestCopies } })
      await clock.wait(renewalMs)
    } catch (error) {
      const isConflict = getErrorKind(error) === ErrorKind.conflict
      journal.record({ name: isConflict ? 'layout-conflict' : 'layout-unwritten', detail: getErrorMessage(error) })
      await clock.wait(renewalMs)
    }
  }
}
