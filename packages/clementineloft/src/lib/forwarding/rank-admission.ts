/**
 * Admission of calls by rank across entries: keeps one level for each model service whose calls can have several ranks, tells
 * the sidecars what waits here, and shows operators what is withheld.
 */
import type { Clock, Journal, Metrics, RandomSource } from '@clementineloft/kernel'
import { AdmissionLevel, boundRank, computeServiceCapacity, listServiceRanks, addRankLoads, WaitingAnnouncements } from '@clementineloft/routing'
import type { Announcement, CallConfig, EndpointReport, RankLoad, ServiceCapacity } from '@clementineloft/routing'
import type { CallDirectory } from './call-directory.js'
import type { RunningCall } from './running-call.js'

/** Minimum time between two events on the level of one service, in milliseconds. */
const minEventIntervalMs = 1000

/** What the level depends on of a call. */
export type RankedCall = Pick<RunningCall, 'service' | 'rank' | 'cost' | 'isSent' | 'hasBegun'>

/** Calls of this entry. */
export interface RankedCalls {
  listWaiting: () => Iterable<RankedCall>
  listRuns: () => Iterable<RankedCall>
}

/** State of one service. */
interface RankedService {
  level: AdmissionLevel
  waiting: RankLoad[]
  announcements: WaitingAnnouncements
  recordedRank: number
  recordedMs: number
}

const noCapacity: ServiceCapacity = { freeTokens: 0, totalTokens: 0, freeSlots: 0 }

const createLoad = ({ rank, cost }: RankedCall): RankLoad => ({ rank, count: 1, tokens: cost })

/** Levels of the services of one entry. */
export class RankAdmission {
  private readonly services = new Map<string, RankedService>()
  private readonly heldCalls = new WeakSet<RankedCall>()
  private announce: (service: string, announcement: Announcement) => void = () => {}

  constructor (
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly journal: Journal,
    private readonly metrics: Metrics,
    private readonly directory: CallDirectory,
    private readonly calls: RankedCalls
  ) {}

  /** @param announce - tells sidecars of a service at once what waits here */
  subscribe (announce: (service: string, announcement: Announcement) => void): void {
    this.announce = announce
  }

  /** Keeps levels for the model services whose calls can have several ranks. */
  applyConfig (config: CallConfig): void {
    const names = config.services.filter(({ name, engine }) => engine !== undefined && listServiceRanks(config, name).length > 1).map(({ name }) => name)
    for (const name of this.services.keys()) if (!names.includes(name)) this.services.delete(name)
    for (const name of names) if (!this.services.has(name)) this.addService(name)
  }

  /** @returns whether a call may be placed now as far as its rank is concerned; an answer that has begun goes on in any case */
  accept (call: RankedCall): boolean {
    const service = this.services.get(call.service)
    if (service === undefined || call.hasBegun() || service.level.canStart(call.rank, call.cost)) return true
    if (!this.heldCalls.has(call)) this.count('admission_held_total', call)
    this.heldCalls.add(call)
    return false
  }

  /** Records that a call is sent to an endpoint. */
  recordStart (call: RankedCall): void {
    this.heldCalls.delete(call)
    if (!call.hasBegun()) this.services.get(call.service)?.level.recordStart(call.rank, call.cost)
  }

  /** Records that a call is refused for want of capacity. */
  recordRefusal (call: RankedCall): void {
    if (this.heldCalls.delete(call)) this.count('admission_refused_total', call)
  }

  /** Observes the service of a call that has just begun to wait. */
  handleWaiting (call: RankedCall): void {
    const service = this.services.get(call.service)
    // A call behind others of its rank changes no decision before the next observation.
    if (service !== undefined && boundRank(call.rank) < (service.waiting[0]?.rank ?? Infinity)) this.observe()
  }

  /**
   * Applies what a report says of calls that wait in all entries.
   *
   * @param waiting - `undefined` if the report says nothing of them
   */
  applySums (address: string, waiting: readonly RankLoad[] | undefined, entries: number): void {
    if (waiting === undefined) return
    this.services.get(this.directory.findByAddress(address)?.service ?? '')?.level.applySums(waiting, entries)
  }

  /** @returns calls of a service that wait here, as last observed; empty if its calls all have one rank */
  listWaiting (service: string): RankLoad[] {
    return this.services.get(service)?.waiting ?? []
  }

  /** Observes all services, and tells sidecars and operators of changes. */
  observe (): void {
    if (this.services.size === 0) return
    const waiting = [...this.calls.listWaiting()]
    for (const [name, service] of this.services) {
      const loads = waiting.filter((call) => call.service === name).map(createLoad)
      const isContended = loads.length > 0 || service.level.hasSums()
      const running = isContended ? [...this.calls.listRuns()].filter((call) => call.service === name && call.isSent()).map(createLoad) : []
      service.level.observe({ ...(isContended ? this.computeCapacity(name) : noCapacity), running, waiting: loads })
      service.waiting = addRankLoads(loads)
      const announcement = service.announcements.next(service.waiting)
      if (announcement !== undefined) this.announce(name, announcement)
      this.recordLevel(name, service)
    }
  }

  private addService (name: string): void {
    this.services.set(name, {
      level: new AdmissionLevel(this.clock, this.random), waiting: [], announcements: new WaitingAnnouncements(this.clock), recordedRank: 0, recordedMs: -Infinity
    })
    // Rank 0 is never withheld, so that 0 stands for none.
    this.metrics.registerGauge(`admission_withheld_rank{service="${name}"}`, () => this.services.get(name)?.level.findWithheldRank() ?? 0)
  }

  private computeCapacity (service: string): ServiceCapacity {
    const { directory } = this
    const engine = directory.findEngine(service)
    if (engine === undefined) return noCapacity
    const reports = directory.list(service)
      .filter((endpoint) => !directory.isSilent(endpoint) && directory.health.isUsable(endpoint.id))
      .map(({ id }) => directory.costs.findReport(id))
      .filter((report): report is EndpointReport => report !== undefined)
    return computeServiceCapacity(reports, engine.layers, engine.slots)
  }

  private recordLevel (name: string, service: RankedService): void {
    const rank = service.level.findWithheldRank() ?? 0
    const nowMs = this.clock.now()
    if (rank === service.recordedRank || nowMs - service.recordedMs < minEventIntervalMs) return
    service.recordedRank = rank
    service.recordedMs = nowMs
    const first = service.waiting[0]
    this.journal.record({ name: 'admission-level', data: { service: name, withheldRank: rank, ownWaitingRank: first?.rank ?? -1, ownWaiting: first?.count ?? 0 } })
  }

  private count (name: string, { service, rank }: RankedCall): void {
    this.metrics.count(`${name}{service="${service}",rank="${boundRank(rank)}"}`)
  }
}
