/**
 * Policies that choose the endpoint of a call from old load information: the router's own, and others for comparison.
 */
import type { Clock, RandomSource } from '@clementineloft/kernel'
import { chooseEndpoint, chooseFromSample, EndpointHealth, EndpointLoads, LoadTable } from '@clementineloft/routing'
import type { CallEndpoint } from '@clementineloft/routing'

/** Chooses endpoints for one entry. */
export abstract class BalancePolicy {
  abstract choose (endpoints: readonly CallEndpoint[]): CallEndpoint

  recordStart (_id: string): void {}

  recordEnd (_id: string): void {}

  recordReport (_id: string, _reported: number): void {}
}

/** Creates the policy instance of one entry; the last parameter tells the actual load of an endpoint. */
export type BalanceFactory = (clock: Clock, random: RandomSource, getLoad: (id: string) => number) => BalancePolicy

/** Work that decides among equal endpoints, in calls. */
const tieWeight = 0.3

const chooseLeast = (endpoints: readonly CallEndpoint[], random: RandomSource, getLoad: (id: string) => number): CallEndpoint => {
  const first = random.pickInteger(endpoints.length)
  let best = endpoints[first] as CallEndpoint
  let lowest = Infinity
  for (let step = 0; step < endpoints.length; step++) {
    const endpoint = endpoints[(first + step) % endpoints.length] as CallEndpoint
    const load = getLoad(endpoint.id) / endpoint.slots
    if (load >= lowest) continue
    best = endpoint
    lowest = load
  }
  return best
}

/** Picks uniformly at random. */
export class RandomBalance extends BalancePolicy {
  constructor (private readonly random: RandomSource) { super() }

  override choose (endpoints: readonly CallEndpoint[]): CallEndpoint {
    return this.random.pickItem(endpoints)
  }
}

/** Knows the actual load of every endpoint. */
export class PerfectBalance extends BalancePolicy {
  constructor (private readonly random: RandomSource, private readonly getLoad: (id: string) => number) { super() }

  override choose (endpoints: readonly CallEndpoint[]): CallEndpoint {
    return chooseLeast(endpoints, this.random, this.getLoad)
  }
}

/** Takes the last report plus own requests since as the load; picks the least of all endpoints, or of two random ones. */
export class ReportedBalance extends BalancePolicy {
  private readonly loads = new LoadTable()

  constructor (private readonly random: RandomSource, private readonly isOfTwo: boolean) { super() }

  override choose (endpoints: readonly CallEndpoint[]): CallEndpoint {
    const compared = this.isOfTwo ? [this.random.pickItem(endpoints), this.random.pickItem(endpoints)] : endpoints
    return chooseLeast(compared, this.random, (id) => this.loads.estimate(id))
  }

  override recordStart (id: string): void { this.loads.recordStart(id) }

  override recordEnd (id: string): void { this.loads.recordEnd(id) }

  override recordReport (id: string, reported: number): void { this.loads.recordReport(id, reported) }
}

/** The router's choice for plain services. */
export class RouterBalance extends BalancePolicy {
  protected readonly loads: EndpointLoads
  private readonly health: EndpointHealth

  constructor (clock: Clock, protected readonly random: RandomSource) {
    super()
    this.loads = new EndpointLoads(clock)
    this.health = new EndpointHealth(clock)
  }

  override choose (endpoints: readonly CallEndpoint[]): CallEndpoint {
    const { dataCentre } = endpoints[0] as CallEndpoint
    return chooseEndpoint(endpoints, this.loads, this.health, dataCentre, new Set(), this.random) as CallEndpoint
  }

  override recordStart (id: string): void { this.loads.recordStart(id) }

  override recordEnd (id: string): void { this.loads.recordEnd(id) }

  override recordReport (id: string, reported: number): void { this.loads.recordReport(id, reported) }
}

/** The router's estimate with a sample of two endpoints, for reports that all entries receive at once. */
export class EstimatedPairBalance extends RouterBalance {
  override choose (endpoints: readonly CallEndpoint[]): CallEndpoint {
    const candidates = this.loads.estimate(endpoints).map(({ value, stayMs }) => ({ weight: 1 / stayMs, work: value + tieWeight * this.random.next() }))
    return endpoints[chooseFromSample(candidates, 2, this.random)] as CallEndpoint
  }
}
