/**
 * The endpoints and services that one process knows from the platform, with the load, health, cost and progress that it
 * has observed for each endpoint.
 */
import { AnswerLengths, EndpointHealth, EndpointLoads, PathCosts, StreamProgress } from '@clementineloft/routing'
import type { CallEndpoint, EndpointReport, EngineConfig, LayerSpan, PathPart, CallService, RequestSize } from '@clementineloft/routing'
import type { Clock } from '@clementineloft/kernel'

/** Time for which a sidecar's report of a silent endpoint stays valid, in milliseconds. */
const silenceTtlMs = 2500
/** Maximum number of leaving incarnations to remember; the oldest ones have ended long before. */
const maxLeaving = 10_000

/** Endpoints by service and address, with their load and health. */
export class CallDirectory {
  readonly loads: EndpointLoads
  readonly health: EndpointHealth
  readonly costs: PathCosts
  readonly progress: StreamProgress
  /** Lengths of answers; absent if no memory is reserved for them. */
  private lengths: AnswerLengths | undefined
  private readonly endpointsByService = new Map<string, CallEndpoint[]>()
  private readonly endpointsByAddress = new Map<string, CallEndpoint>()
  /** When a sidecar last reported that its endpoint does not answer, by endpoint id, in milliseconds of the clock. */
  private readonly silentReportMs = new Map<string, number>()
  /** Start of the incarnation that has said in an answer that it leaves, by endpoint id, in milliseconds since the epoch. */
  private readonly leavingBornMs = new Map<string, number>()
  private readonly services = new Map<string, CallService>()
  private capacityVersion = 0

  constructor (private readonly clock: Clock) {
    this.loads = new EndpointLoads(clock)
    this.costs = new PathCosts(clock)
    this.health = new EndpointHealth(clock)
    this.progress = new StreamProgress(clock)
  }

  /** Reserves memory for the expected answers of requests from now on. */
  startReserving (): void {
    const lengths = new AnswerLengths()
    this.lengths = lengths
    this.costs.startReserving(() => lengths.getMean())
  }

  /** Records the length of a complete stream. */
  recordAnswer (route: string, size: RequestSize | undefined, tokens: number): void {
    if (size !== undefined) this.lengths?.record(route, size.answerTokens, tokens)
  }

  /** @returns the size with the expected length of the answer, as learned for the route */
  estimateSize (route: string, size: RequestSize): RequestSize {
    return this.lengths === undefined ? size : { ...size, answerTokens: this.lengths.estimate(route, size.answerTokens) }
  }

  /** @returns number of tokens for which an endpoint must have memory to take a request */
  countRequiredTokens ({ promptTokens, answerTokens }: RequestSize): number {
    return this.lengths === undefined ? promptTokens : promptTokens + answerTokens
  }

  /**
   * Replaces the list of endpoints, and discards the records of endpoints that are no longer in it.
   *
   * @param endpoints - all endpoints, including those that are leaving
   * @returns endpoints that accepted calls before and no longer do
   */
  applyEndpoints (endpoints: readonly CallEndpoint[]): CallEndpoint[] {
    const previousEndpoints = [...this.endpointsByAddress.values()]
    this.endpointsByService.clear()
    this.endpointsByAddress.clear()
    const ids = new Set<string>()
    for (const endpoint of endpoints) {
      ids.add(endpoint.id)
      if (endpoint.isLeaving || this.leavingBornMs.get(endpoint.id) === endpoint.bornMs) continue
      this.endpointsByAddress.set(endpoint.address, endpoint)
      const serviceEndpoints = this.endpointsByService.get(endpoint.service)
      if (serviceEndpoints === undefined) this.endpointsByService.set(endpoint.service, [endpoint])
      else serviceEndpoints.push(endpoint)
    }
    this.capacityVersion++
    this.loads.retain(ids)
    this.health.retain(ids)
    this.costs.retain(ids)
    this.progress.retain(ids)
    for (const id of this.silentReportMs.keys()) {
      if (!ids.has(id)) this.silentReportMs.delete(id)
    }
    return previousEndpoints.filter((endpoint) => this.endpointsByAddress.get(endpoint.address)?.id !== endpoint.id)
  }

  /**
   * Records that an endpoint has said in an answer that it leaves. Holds for this incarnation, whatever the list says later: a
   * list may be older than the answer.
   *
   * @returns whether this is new, so that the endpoint accepted calls before
   */
  recordLeaving ({ id, bornMs, address, service }: CallEndpoint): boolean {
    if (this.leavingBornMs.get(id) === bornMs) return false
    this.leavingBornMs.delete(id)
    this.leavingBornMs.set(id, bornMs)
    if (this.leavingBornMs.size > maxLeaving) this.leavingBornMs.delete(this.leavingBornMs.keys().next().value as string)
    if (this.endpointsByAddress.get(address)?.id !== id) return false
    this.endpointsByAddress.delete(address)
    this.endpointsByService.set(service, this.list(service).filter((endpoint) => endpoint.id !== id))
    return true
  }

  /**
   * Applies a sidecar's report on its endpoint.
   *
   * @param report - `undefined` if the endpoint does not answer its sidecar
   * @param entries - number of entries that receive the report
   * @returns the endpoint, if this report makes it silent
   */
  applyReport (address: string, report: EndpointReport | undefined, entries: number): CallEndpoint | undefined {
    const endpoint = this.endpointsByAddress.get(address)
    if (endpoint === undefined) return undefined
    // A different start time means that the endpoint has restarted and the listed incarnation has ended.
    if (report === undefined || report.bornMs !== endpoint.bornMs) {
      const isNewlySilent = !this.isSilent(endpoint)
      this.silentReportMs.set(endpoint.id, this.clock.now())
      return isNewlySilent ? endpoint : undefined
    }
    const wasSilent = this.silentReportMs.delete(endpoint.id)
    const hasFreed = this.costs.recordReport(endpoint.id, report, entries)
    if (wasSilent || hasFreed) this.capacityVersion++
    return undefined
  }

  /** Records that a call of this entry has ended, so that its endpoints may take another one. */
  recordFreed (): void {
    this.capacityVersion++
  }

  /** @returns a number that changes whenever an endpoint may take a call that it could not take before */
  getCapacityVersion (): number {
    return this.capacityVersion
  }

  /** @returns the layers that an endpoint holds, from its sidecar's latest report or otherwise from the list */
  findLayers (endpoint: CallEndpoint): LayerSpan | undefined {
    const report = this.costs.findReport(endpoint.id)
    return report === undefined ? endpoint.layers : report.layers
  }

  /** @returns whether the endpoint's sidecar has recently reported that it gets no answer */
  isSilent (endpoint: CallEndpoint): boolean {
    return this.clock.now() - (this.silentReportMs.get(endpoint.id) ?? -Infinity) < silenceTtlMs
  }

  /**
   * @param parts - path of a stalled stream
   * @returns parts that make no progress for other streams and whose sidecar reports silence or nothing
   */
  listSuspects (parts: readonly PathPart[]): PathPart[] {
    return this.progress.listSuspects(parts).filter(({ endpoint }) => this.isSilent(endpoint) || this.costs.findReport(endpoint.id) === undefined)
  }

  /** @returns addresses of all model endpoints; each of them has a sidecar */
  listEngineAddresses (): string[] {
    const addresses: string[] = []
    for (const endpoint of this.endpointsByAddress.values()) {
      if (endpoint.type !== undefined) addresses.push(endpoint.address)
    }
    return addresses
  }

  /** @param services - services of the current configuration */
  applyServices (services: readonly CallService[]): void {
    this.capacityVersion++
    this.services.clear()
    for (const service of services) this.services.set(service.name, service)
  }

  /** @returns endpoints of a service that accept new calls */
  list (service: string): readonly CallEndpoint[] {
    return this.endpointsByService.get(service) ?? []
  }

  /** @returns the endpoint at an address, or `undefined` if none there accepts calls */
  findByAddress (address: string): CallEndpoint | undefined {
    return this.endpointsByAddress.get(address)
  }

  /** @returns the engine of a model service; `undefined` for a plain or unknown service */
  findEngine (service: string): EngineConfig | undefined {
    return this.services.get(service)?.engine
  }
}
