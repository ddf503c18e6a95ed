/**
 * Policies that choose the path of a stream: common load-balancing policies, and the router's own for comparison.
 */
import type { Clock, RandomSource } from '@clementineloft/kernel'
import { findPath, PathCosts } from '@clementineloft/routing'
import type {
  AcceleratorType, CallEndpoint, EndpointReport, EngineConfig, LayerSpan, PathCandidate, PathPart, RequestSize
} from '@clementineloft/routing'

/** Chooses paths for one entry, from the load reports of endpoints and from the streams that the entry has sent itself. */
export abstract class PlacementPolicy {
  /** @returns the path, or `undefined` if no path has enough free memory */
  abstract findParts (endpoints: readonly CallEndpoint[], size: RequestSize): PathPart[] | undefined

  abstract recordStart (parts: readonly PathPart[], size: RequestSize): void

  abstract recordEnd (parts: readonly PathPart[], size: RequestSize): void

  abstract recordReport (id: string, report: EndpointReport): void
}

/** Creates the policy instance of one entry. */
export type PlacementFactory = (dataCentre: string, clock: Clock, random: RandomSource) => PlacementPolicy

/** Builds the path endpoint by endpoint. Each endpoint runs all layers that it holds from the current layer on. */
abstract class StepwisePlacement extends PlacementPolicy {
  /** Requests at each endpoint: the last report plus streams that this entry has started since, less those that ended. */
  private readonly requests = new Map<string, number>()

  constructor (private readonly layers: number) { super() }

  override findParts (endpoints: readonly CallEndpoint[]): PathPart[] {
    const parts: PathPart[] = []
    for (let layer = 0; layer < this.layers;) {
      const candidates = endpoints.filter(({ id, layers }) =>
        layers !== undefined && layers.from <= layer && layers.to > layer && !parts.some((part) => part.endpoint.id === id))
      const endpoint = this.choose(candidates)
      const { to } = endpoint.layers as LayerSpan
      parts.push({ endpoint, from: layer, to })
      layer = to
    }
    return parts
  }

  override recordStart (parts: readonly PathPart[]): void {
    for (const { endpoint } of parts) this.requests.set(endpoint.id, this.countRequests(endpoint) + 1)
  }

  override recordEnd (parts: readonly PathPart[]): void {
    for (const { endpoint } of parts) this.requests.set(endpoint.id, Math.max(0, this.countRequests(endpoint) - 1))
  }

  override recordReport (id: string, { active, queued }: EndpointReport): void {
    this.requests.set(id, active + queued)
  }

  protected countRequests ({ id }: CallEndpoint): number {
    return this.requests.get(id) ?? 0
  }

  protected abstract choose (candidates: readonly CallEndpoint[]): CallEndpoint
}

/** Picks an endpoint uniformly at random. */
export class RandomPlacement extends StepwisePlacement {
  constructor (layers: number, protected readonly random: RandomSource) { super(layers) }

  protected override choose (candidates: readonly CallEndpoint[]): CallEndpoint {
    return this.random.pickItem(candidates)
  }
}

/** Picks the less loaded of two random endpoints (power of two choices). */
export class BetterOfTwoPlacement extends RandomPlacement {
  protected override choose (candidates: readonly CallEndpoint[]): CallEndpoint {
    const [one, other] = [this.random.pickItem(candidates), this.random.pickItem(candidates)]
    return this.countRequests(other) < this.countRequests(one) ? other : one
  }
}

/** Picks the endpoint with the fewest requests. */
export class LeastLoadedPlacement extends StepwisePlacement {
  protected override choose (candidates: readonly CallEndpoint[]): CallEndpoint {
    return candidates.reduce((best, endpoint) => this.countRequests(endpoint) < this.countRequests(best) ? endpoint : best)
  }
}

/** The router's policy: the path of least estimated time among endpoints with enough free memory. */
export class LeastCostPlacement extends PlacementPolicy {
  private readonly costs: PathCosts

  /**
   * @param entries - number of entries that are assumed to send as this one does between two reports of an endpoint. The
   *   router passes the number of all entries; 1 counts only the requests of this entry.
   */
  constructor (
    private readonly engine: EngineConfig,
    private readonly dataCentre: string,
    private readonly entries: number,
    clock: Clock
  ) {
    super()
    this.costs = new PathCosts(clock)
  }

  override findParts (endpoints: readonly CallEndpoint[], size: RequestSize): PathPart[] | undefined {
    const candidates = endpoints.map((endpoint) => {
      const type = this.engine.types.find(({ name }) => name === endpoint.type) as AcceleratorType
      return this.costs.createCandidate(endpoint, type, this.engine, size, this.dataCentre)
    }).filter((candidate): candidate is PathCandidate => candidate !== undefined)
    return findPath(candidates, this.engine.layers, this.costs.createHopEstimate(this.engine, size))
  }

  override recordStart (parts: readonly PathPart[], size: RequestSize): void {
    this.costs.recordStart(parts, size)
    this.costs.recordTransfers(parts, this.engine, size)
  }

  override recordEnd (parts: readonly PathPart[], size: RequestSize): void {
    this.costs.recordEnd(parts, size)
  }

  override recordReport (id: string, report: EndpointReport): void {
    this.costs.recordReport(id, report, this.entries)
  }
}
