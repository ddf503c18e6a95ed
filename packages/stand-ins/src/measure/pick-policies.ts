/**
 * Policies that select a pipeline: common load-balancing policies, and the router's own for comparison.
 */
import type { RandomSource } from '@clementineloft/kernel'
import { PipelinePicker } from '@clementineloft/routing'
import type { LoadTable, ModelGraph, StageEndpoint } from '@clementineloft/routing'

/** Selects pipelines for one entry. */
export abstract class PickPolicy {
  /** @returns the stages of the pipeline in order, or `undefined` if no pipeline is usable */
  abstract pick (graph: ModelGraph, isUsable: (name: string) => boolean): StageEndpoint[] | undefined
}

/** Selects stage by stage among all endpoints that begin at the next layer, in any data centre. */
abstract class StagewisePolicy extends PickPolicy {
  override pick (graph: ModelGraph, isUsable: (name: string) => boolean): StageEndpoint[] | undefined {
    const pipeline: StageEndpoint[] = []
    let boundary = 0
    while (boundary < graph.layers) {
      const candidates = graph.endpoints.filter((endpoint) => endpoint.firstLayer === boundary && isUsable(endpoint.name))
      if (candidates.length === 0) return undefined
      const chosen = this.choose(candidates)
      pipeline.push(chosen)
      boundary = chosen.lastLayer + 1
    }
    return pipeline
  }

  protected abstract choose (candidates: StageEndpoint[]): StageEndpoint
}

/** Picks an endpoint uniformly at random. */
export class RandomPolicy extends StagewisePolicy {
  constructor (private readonly random: RandomSource) { super() }

  protected override choose (candidates: StageEndpoint[]): StageEndpoint {
    return this.random.pickItem(candidates)
  }
}

/** Picks the endpoints in rotation. */
export class RoundRobinPolicy extends StagewisePolicy {
  private turn: number

  constructor (random: RandomSource) {
    super()
    this.turn = random.pickInteger(1000)
  }

  protected override choose (candidates: StageEndpoint[]): StageEndpoint {
    return candidates[this.turn++ % candidates.length] as StageEndpoint
  }
}

/** Picks the endpoint with the lowest ratio of load to speed, by the load that this entry knows. */
export class LeastLoadedPolicy extends StagewisePolicy {
  constructor (private readonly loads: LoadTable) { super() }

  protected override choose (candidates: StageEndpoint[]): StageEndpoint {
    const estimateDelay = (endpoint: StageEndpoint): number => (this.loads.estimate(endpoint.name) + 1) / endpoint.tokensPerSecond
    return candidates.reduce((best, endpoint) => estimateDelay(endpoint) < estimateDelay(best) ? endpoint : best)
  }
}

/** Picks the less loaded of two random endpoints (power of two choices). */
export class BetterOfTwoPolicy extends StagewisePolicy {
  constructor (
    private readonly random: RandomSource,
    private readonly loads: LoadTable
  ) { super() }

  protected override choose (candidates: StageEndpoint[]): StageEndpoint {
    const pair = [this.random.pickItem(candidates), this.random.pickItem(candidates)]
    return new LeastLoadedChoice(this.loads).choose(pair)
  }
}

/** Picks a data centre at random, then each stage by the better of two random endpoints in it. */
export class LocalBetterOfTwoPolicy extends PickPolicy {
  constructor (
    private readonly random: RandomSource,
    private readonly loads: LoadTable
  ) { super() }

  override pick (graph: ModelGraph, isUsable: (name: string) => boolean): StageEndpoint[] | undefined {
    const dataCentre = this.random.pickItem(graph.endpoints).dataCentre
    const local = new Set(graph.endpoints.filter((endpoint) => endpoint.dataCentre === dataCentre).map((endpoint) => endpoint.name))
    return new BetterOfTwoPolicy(this.random, this.loads).pick(graph, (name) => local.has(name) && isUsable(name))
  }
}

/** Makes the choice of {@link LeastLoadedPolicy} available to other policies. */
class LeastLoadedChoice extends LeastLoadedPolicy {
  override choose (candidates: StageEndpoint[]): StageEndpoint {
    return super.choose(candidates)
  }
}

/** The router's policy: paths in proportion to the maximum flow, then the better of two random endpoints. */
export class FlowPolicy extends PickPolicy {
  private readonly picker: PipelinePicker

  constructor (random: RandomSource, loads: LoadTable) {
    super()
    this.picker = new PipelinePicker(loads, random)
  }

  override pick (graph: ModelGraph, isUsable: (name: string) => boolean): StageEndpoint[] | undefined {
    return this.picker.pick(graph, isUsable)
  }
}
