/**
 * The endpoints that one process knows from the platform's list, and everything it remembers of them.
 */
import { LoadTable, EndpointHealth, PathCosts, StreamProgress } from '@clementineloft/routing'
import type { CallEndpoint, EndpointReport, EngineTerms, LayerSpan, PathPart, ServiceTerms } from '@clementineloft/routing'
import type { Clock } from '@clementineloft/kernel'

/** Time for which the word of a sidecar holds that its endpoint is silent, in milliseconds. */
const silenceTtlMs = 2500

/** Endpoints by service, with their load and health. */
export class CallDirectory {
  readonly loads = new LoadTable()
  readonly health: EndpointHealth
  readonly costs: PathCosts
  readonly progress: StreamProgress
  private readonly endpointsByService = new Map<string, CallEndpoint[]>()
  private readonly endpointsByAddress = new Map<string, CallEndpoint>()
  /** Endpoints that do not answer the sidecar beside them, with the time at which it last said so. */
  private readonly silentReportMs = new Map<string, number>()
  private readonly services = new Map<string, ServiceTerms>()

  constructor (private readonly clock: Clock) {
    this.costs = new PathCosts(clock)
    this.health = new EndpointHealth(clock)
    this.progress = new StreamProgress(clock)
  }

  /**
   * Takes over the list.
   *
   * @param endpoints - all endpoints, also those that are leaving
   * @returns endpoints that took work before and take none now
   */
  applyEndpoints (endpoints: readonly CallEndpoint[]): CallEndpoint[] {
    const previousEndpoints = [...this.endpointsByAddress.values()]
    this.endpointsByService.clear()
    this.endpointsByAddress.clear()
    const ids = new Set<string>()
    for (const endpoint of endpoints) {
      ids.add(endpoint.id)
      if (endpoint.isLeaving) continue
      this.endpointsByAddress.set(endpoint.address, endpoint)
      const serviceEndpoints = this.endpointsByService.get(endpoint.service)
      if (serviceEndpoints === undefined) this.endpointsByService.set(endpoint.service, [endpoint])
      else serviceEndpoints.push(endpoint)
    }
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
   * Takes note of what a sidecar says of its endpoint.
   *
   * @param report - `undefined` if the endpoint does not answer
   * @param entries - entries that hear the same
   * @returns the endpoint, if it has just stopped answering
   */
  applyReport (address: string, report: EndpointReport | undefined, entries: number): CallEndpoint | undefined {
    const endpoint = this.endpointsByAddress.get(address)
    if (endpoint === undefined) return undefined
    // A report of another start means that the one in the list has ended, though the list does not say so yet.
    if (report === undefined || report.bornMs !== endpoint.bornMs) {
      const isNewlySilent = !this.isSilent(endpoint)
      this.silentReportMs.set(endpoint.id, this.clock.now())
      return isNewlySilent ? endpoint : undefined
    }
    this.silentReportMs.delete(endpoint.id)
    this.costs.recordReport(endpoint.id, report, entries)
    return undefined
  }

  /** @returns the layers that an endpoint holds by the latest word of its sidecar or else of the list */
  findLayers (endpoint: CallEndpoint): LayerSpan | undefined {
    const report = this.costs.findReport(endpoint.id)
    return report === undefined ? endpoint.layers : report.layers
  }

  /** @returns whether the sidecar beside the endpoint gets no answer from it */
  isSilent (endpoint: CallEndpoint): boolean {
    return this.clock.now() - (this.silentReportMs.get(endpoint.id) ?? -Infinity) < silenceTtlMs
  }

  /** @returns parts of a stopped stream that neither bring other streams forward nor have a sidecar that vouches for them */
  listSuspects (parts: readonly PathPart[]): PathPart[] {
    return this.progress.listSuspects(parts).filter(({ endpoint }) => this.isSilent(endpoint) || this.costs.findReport(endpoint.id) === undefined)
  }

  /** @returns addresses of all endpoints of services with engines, beside which sidecars run */
  listEngineAddresses (): string[] {
    const addresses: string[] = []
    for (const endpoint of this.endpointsByAddress.values()) {
      if (endpoint.type !== undefined) addresses.push(endpoint.address)
    }
    return addresses
  }

  /** @param services - services of the configuration in force */
  applyServices (services: readonly ServiceTerms[]): void {
    this.services.clear()
    for (const service of services) this.services.set(service.name, service)
  }

  /** @returns endpoints of a service that take new work */
  list (service: string): readonly CallEndpoint[] {
    return this.endpointsByService.get(service) ?? []
  }

  /** @returns the endpoint at an address, or `undefined` */
  findByAddress (address: string): CallEndpoint | undefined {
    return this.endpointsByAddress.get(address)
  }

  /** @returns the engine behind a service; `undefined` for a plain service */
  findEngine (service: string): EngineTerms | undefined {
    return this.services.get(service)?.engine
  }
}
