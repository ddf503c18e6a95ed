/**
 * Selects where a call runs: one endpoint of a plain service, or a path over model endpoints that covers all layers.
 */
import { chooseEndpoint, countCopies, findPath, PlacementMemo } from '@clementineloft/routing'
import type { CallEndpoint, CallRoute, EngineConfig, PathCandidate, PathPart, RequestSize } from '@clementineloft/routing'
import type { Clock, RandomSource } from '@clementineloft/kernel'
import type { CallDirectory } from './call-directory.js'

/** Endpoints on which a call runs. */
export interface Placement {
  /** Endpoint to which the call is sent. */
  endpoint: CallEndpoint
  /** All parts of the path, in order of layers; absent for plain services. */
  parts?: PathPart[]
  size?: RequestSize
}

/** Size assumed for a call that does not state its size. */
const defaultSize: RequestSize = { promptTokens: 500, answerTokens: 200 }

/** Factor on the layer time of an endpoint that already holds the cached tokens of a stream. */
const cachedTimeFactor = 0.3

/** Places calls by the load, health, cost and layers of the endpoints in a directory. */
export class CallPlacement {
  private readonly memo: PlacementMemo

  constructor (
    private readonly directory: CallDirectory,
    private readonly dataCentre: string,
    private readonly random: RandomSource,
    clock: Clock
  ) {
    this.memo = new PlacementMemo(clock)
  }

  /** @returns a random target service of a route, by weight; `undefined` if the route has none */
  pickService (route: CallRoute): string | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
    let remaining = this.random.next() * total
    for (const target of route.targets) {
      remaining -= target.weight
      if (remaining < 0) return target.service
    }
    return route.targets.at(-1)?.service
  }

  /**
   * Finds a placement for a call. For plain services the exclusion is only a preference: if all endpoints are excluded,
   * one of them is chosen again.
   *
   * @param avoided - ids of endpoints that have failed this call
   * @param route - name of the route, by which the length of the answer is estimated
   * @returns a placement, or `undefined` if none is available now
   */
  find (service: string, size: RequestSize | undefined, avoided: ReadonlySet<string>, route = ''): Placement | undefined {
    const engine = this.directory.findEngine(service)
    if (engine === undefined) return this.findPlainEndpoint(service, avoided)
    return this.findLayeredPath(service, engine, this.directory.estimateSize(route, size ?? defaultSize), avoided)
  }

  /** @returns whether the usable endpoints together hold all layers, regardless of their free capacity */
  hasAllLayers (service: string): boolean {
    const engine = this.directory.findEngine(service)
    if (engine === undefined) return this.directory.list(service).length > 0
    const spans = this.directory.list(service).flatMap((endpoint) => {
      const layers = this.directory.findLayers(endpoint)
      const isUsable = layers !== undefined && !this.directory.isSilent(endpoint) && this.directory.health.isUsable(endpoint.id)
      return isUsable ? [layers] : []
    })
    return !countCopies(spans, engine.layers).includes(0)
  }

  /** @returns time until the first endpoint of a service ends the pause that it has asked for, in milliseconds; 0 if one has none */
  getPauseMs (service: string): number {
    const endpoints = this.directory.list(service)
    return endpoints.length === 0 ? 0 : Math.min(...endpoints.map(({ id }) => this.directory.health.getPauseMs(id)))
  }

  /** Adds the load and path cost of a call that starts at a placement. */
  recordStart (placement: Placement): void {
    const { endpoint, parts, size } = placement
    this.directory.loads.recordStart(endpoint.id)
    if (parts === undefined || size === undefined) return
    this.directory.costs.recordStart(parts, size)
    const engine = this.directory.findEngine(endpoint.service)
    if (engine !== undefined) this.directory.costs.recordTransfers(parts, engine, size)
  }

  /** Removes the load and path cost of a call that has left its placement. */
  recordEnd (placement: Placement): void {
    const { endpoint, parts, size } = placement
    this.directory.loads.recordEnd(endpoint.id)
    if (parts !== undefined && size !== undefined) this.directory.costs.recordEnd(parts, size)
    this.directory.recordFreed()
  }

  private findPlainEndpoint (service: string, avoided: ReadonlySet<string>): Placement | undefined {
    const { loads, health } = this.directory
    const endpoints = this.directory.list(service)
    const endpoint = chooseEndpoint(endpoints, loads, health, this.dataCentre, avoided, this.random) ??
      chooseEndpoint(endpoints, loads, health, this.dataCentre, new Set(), this.random)
    return endpoint === undefined ? undefined : { endpoint }
  }

  /**
   * Finds a path for a running stream that avoids failed endpoints. Endpoints of the current path are preferred, since
   * they hold the cached tokens of the stream.
   *
   * @param currentParts - the current path; its first part is retained
   * @param avoided - ids of the failed endpoints
   * @returns the complete new path, or `undefined` if there is none
   */
  findAlternativePath (service: string, currentParts: readonly PathPart[], size: RequestSize, avoided: ReadonlySet<string>): PathPart[] | undefined {
    const engine = this.directory.findEngine(service)
    const first = currentParts[0]
    if (engine === undefined || first === undefined || first.to >= engine.layers) return undefined
    const excluded = new Set([...avoided, first.endpoint.id])
    const currentIds = new Set(currentParts.map((part) => part.endpoint.id))
    const candidates = this.listCandidates(service, engine, size, excluded)
      .map((candidate) => currentIds.has(candidate.endpoint.id) ? { ...candidate, layerMs: candidate.layerMs * cachedTimeFactor } : candidate)
    const remainingParts = findPath(candidates, engine.layers, this.directory.costs.createHopEstimate(engine, size), { layer: first.to, predecessor: first.endpoint })
    return remainingParts === undefined ? undefined : [first, ...remainingParts]
  }

  private findLayeredPath (
    service: string,
    engine: EngineConfig,
    size: RequestSize,
    avoided: ReadonlySet<string>
  ): Placement | undefined {
    const capacityVersion = this.directory.getCapacityVersion()
    const requiredTokens = this.directory.countRequiredTokens(size)
    if (this.memo.hasFailed(service, requiredTokens, capacityVersion)) return undefined
    const parts = findPath(this.listCandidates(service, engine, size, avoided), engine.layers, this.directory.costs.createHopEstimate(engine, size))
    const first = parts?.[0]
    if (first !== undefined) return { endpoint: first.endpoint, parts: parts as PathPart[], size }
    if (avoided.size === 0) this.memo.recordFailure(service, requiredTokens, capacityVersion)
    return undefined
  }

  private listCandidates (service: string, engine: EngineConfig, size: RequestSize, avoided: ReadonlySet<string>): PathCandidate[] {
    const { directory } = this
    const candidates: PathCandidate[] = []
    for (const listed of directory.list(service)) {
      const type = engine.types.find((engineType) => engineType.name === listed.type)
      const layers = directory.findLayers(listed)
      if (type === undefined || layers === undefined || directory.isSilent(listed)) continue
      if (avoided.has(listed.id) || !directory.health.isUsable(listed.id)) continue
      const endpoint = listed.layers === layers ? listed : { ...listed, layers }
      const candidate = directory.costs.createCandidate(endpoint, type, engine, size, this.dataCentre)
      if (candidate !== undefined) candidates.push(candidate)
    }
    return candidates
  }
}
