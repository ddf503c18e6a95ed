/**
 * Ways to choose the path of a stream, for comparison with the router's own.
 */
import type { Clock, RandomSource } from '@clementineloft/kernel'
import { findPath, PathCosts } from '@clementineloft/routing'
import type {
  AcceleratorType, CallEndpoint, EndpointReport, EngineTerms, LayerSpan, PathCandidate, PathPart, RequestSize
} from '@clementineloft/routing'

/** Chooses paths for one entry, from reports and from what the entry itself has sent. */
export abstract class PlacingPolicy {
  /** @returns the path, or `undefined` if no endpoint has room */
  abstract findParts (endpoints: readonly CallEndpoint[], size: RequestSize): PathPart[] | undefined

  abstract recordStart (parts: readonly PathPart[], size: RequestSize): void

  abstract recordEnd (parts: readonly PathPart[], size: RequestSize): void

  abstract recordReport (id: string, report: EndpointReport): void
}

/** Creates the policy of one entry. */
export type CreatePlacing = (dataCentre: string, clock: Clock, random: RandomSource) => PlacingPolicy

/** Goes from endpoint to endpoint, each to the end of what it holds. */
abstract class StepwisePlacing extends PlacingPolicy {
  /** Requests at each endpoint, as far as this entry knows. */
  private readonly requests = new Map<string, number>()

  constructor (private readonly layers: number) { super() }

  override findParts (endpoints: readonly CallEndpoint[]): PathPart[] {
    const parts: PathPart[] = []
    for (let at = 0; at < this.layers;) {
      const holding = endpoints.filter(({ id, layers }) =>
        layers !== undefined && layers.from <= at && layers.to > at && !parts.some((part) => part.endpoint.id === id))
      const endpoint = this.choose(holding)
      const { to } = endpoint.layers as LayerSpan
      parts.push({ endpoint, from: at, to })
      at = to
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

  protected abstract choose (holding: readonly CallEndpoint[]): CallEndpoint
}

/** Any endpoint, each as likely as another. */
export class RandomPlacing extends StepwisePlacing {
  constructor (layers: number, protected readonly random: RandomSource) { super(layers) }

  protected override choose (holding: readonly CallEndpoint[]): CallEndpoint {
    return this.random.pickItem(holding)
  }
}

/** The better of two endpoints picked at random. */
export class BetterOfTwoPlacing extends RandomPlacing {
  protected override choose (holding: readonly CallEndpoint[]): CallEndpoint {
    const [one, other] = [this.random.pickItem(holding), this.random.pickItem(holding)]
    return this.countRequests(other) < this.countRequests(one) ? other : one
  }
}

/** The endpoint with the fewest requests. */
export class LeastLoadedPlacing extends StepwisePlacing {
  protected override choose (holding: readonly CallEndpoint[]): CallEndpoint {
    return holding.reduce((best, endpoint) => this.countRequests(endpoint) < this.countRequests(best) ? endpoint : best)
  }
}

/** The router's own: the path of least time among endpoints with room. */
export class CostPlacing extends PlacingPolicy {
  private readonly costs: PathCosts

  /**
   * @param entries - entries for which each request sent since a report is counted; the router counts all, its earlier
   *   version counted this entry alone
   */
  constructor (
    private readonly engine: EngineTerms,
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
