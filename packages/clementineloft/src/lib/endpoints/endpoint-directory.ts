/**
 * The endpoints as seen by one entry: combines the configuration, the instance list, and the failures that the entry
 * itself has observed.
 */
import { rankCandidates } from '@clementineloft/coordination'
import type { Membership } from '@clementineloft/coordination'
import type { Clock } from '@clementineloft/kernel'
import { ModelGraph } from '@clementineloft/routing'
import type { StageEndpoint } from '@clementineloft/routing'
import type { ConfigDocument } from '../operators/config-document.js'

const cooldownMs = 3000
const defaultTokensPerSecond = 1000
const defaultLinkTokensPerSecond = 1_000_000

/** An endpoint of a plain service. */
export interface ServiceEndpoint {
  name: string
  address: string
  dataCentre: string
}

/** Looks up endpoints and their state. */
export class EndpointDirectory {
  private graphs = new Map<string, ModelGraph>()
  private services = new Map<string, ServiceEndpoint[]>()
  private document: ConfigDocument | undefined
  /** Model endpoints that this entry uses. The subset bounds the number of links that it keeps open. */
  private subset = new Set<string>()
  private readonly avoidedUntilMs = new Map<string, number>()

  /**
   * @param entryName - name of this entry; entries with different names choose different subsets
   * @param endpointsPerStage - number of endpoints that this entry uses for each range of layers
   */
  constructor (
    private readonly entryName: string,
    private readonly endpointsPerStage: number,
    private readonly membership: Membership,
    private readonly clock: Clock
  ) {
    membership.subscribeRestarts((name) => { this.avoidedUntilMs.delete(name) })
  }

  /** Applies a new configuration. */
  applyConfig (document: ConfigDocument): void {
    this.document = document
    this.refresh()
  }

  /** Rebuilds graphs, services and subset from the current configuration and instance list. */
  refresh (): void {
    const { document } = this
    if (document === undefined) return
    this.graphs = new Map()
    this.services = new Map()
    this.subset = new Set()
    for (const [model, { layers }] of Object.entries(document.models)) {
      const stages = this.listStages(document, model)
      this.graphs.set(model, new ModelGraph(layers, stages, (from, to) => this.getLinkCapacity(from, to)))
      this.addToSubset(stages)
    }
    for (const service of Object.keys(document.services)) this.services.set(service, this.listServiceEndpoints(document, service))
  }

  /** @returns the graph of a model, or `undefined` for an unknown model */
  findGraph (model: string): ModelGraph | undefined {
    return this.graphs.get(model)
  }

  /**
   * @returns the serving endpoints of a plain service, including avoided ones only if all of them are avoided;
   *   `undefined` for an unknown service
   */
  findService (service: string): ServiceEndpoint[] | undefined {
    const serving = this.services.get(service)?.filter((endpoint) => this.isServing(endpoint.name))
    const preferred = serving?.filter((endpoint) => !this.isAvoided(endpoint.name))
    return preferred?.length === 0 ? serving : preferred
  }

  /** @returns an endpoint of a plain service, regardless of its state */
  findServiceEndpoint (service: string, name: string): ServiceEndpoint | undefined {
    return this.services.get(service)?.find((endpoint) => endpoint.name === name)
  }

  /** @returns whether an endpoint accepts new work by its own reports, the instance list and the configuration */
  isServing (name: string): boolean {
    return this.document?.endpoints[name]?.state === 'serving' && this.membership.isServing(name)
  }

  /** @returns whether a model endpoint belongs to this entry's subset */
  isInSubset (name: string): boolean {
    return this.subset.has(name)
  }

  /** @returns whether an endpoint is in its cooldown after a failure */
  isAvoided (name: string): boolean {
    return (this.avoidedUntilMs.get(name) ?? 0) > this.clock.now()
  }

  /**
   * Avoids an endpoint for the cooldown after a failure, or until its process restarts.
   *
   * @param name - name of the endpoint
   */
  avoid (name: string): void {
    this.avoidedUntilMs.set(name, this.clock.now() + cooldownMs)
  }

  /** @returns names of all configured endpoints that have an instance */
  listNames (): Set<string> {
    const names = Object.keys(this.document?.endpoints ?? {})
    return new Set(names.filter((name) => this.membership.find(name) !== undefined))
  }

  private addToSubset (stages: readonly StageEndpoint[]): void {
    const namesByRange = new Map<string, string[]>()
    for (const { name, firstLayer, lastLayer } of stages) {
      const range = `${firstLayer}-${lastLayer}`
      namesByRange.set(range, [...namesByRange.get(range) ?? [], name])
    }
    for (const names of namesByRange.values()) {
      for (const name of rankCandidates(this.entryName, names).slice(0, this.endpointsPerStage)) this.subset.add(name)
    }
  }

  private listStages (document: ConfigDocument, model: string): StageEndpoint[] {
    return Object.entries(document.endpoints).flatMap(([name, endpoint]): StageEndpoint[] => {
      const instance = this.membership.find(name)
      if (endpoint.model !== model || endpoint.state !== 'serving' || instance === undefined) return []
      return [{
        name,
        address: instance.address,
        dataCentre: endpoint.dataCentre,
        model,
        firstLayer: endpoint.firstLayer ?? 0,
        lastLayer: endpoint.lastLayer ?? 0,
        tokensPerSecond: endpoint.tokensPerSecond ?? defaultTokensPerSecond
      }]
    })
  }

  private listServiceEndpoints (document: ConfigDocument, service: string): ServiceEndpoint[] {
    return Object.entries(document.endpoints).flatMap(([name, endpoint]): ServiceEndpoint[] => {
      const instance = this.membership.find(name)
      if (endpoint.service !== service || instance === undefined) return []
      return [{ name, address: instance.address, dataCentre: endpoint.dataCentre }]
    })
  }

  private getLinkCapacity (from: string, to: string): number {
    const link = this.document?.links.find((candidate) => candidate.from === from && candidate.to === to)
    return link?.tokensPerSecond ?? defaultLinkTokensPerSecond
  }
}
