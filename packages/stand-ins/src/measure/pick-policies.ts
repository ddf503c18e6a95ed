/**
 * Ways to pick pipelines, for comparison with the router's own.
 */
import type { RandomSource } from '@clementineloft/kernel'
import { PipelinePicker } from '@clementineloft/routing'
import type { LoadTable, ModelGraph, StageEndpoint } from '@clementineloft/routing'

/** Picks pipelines for one entry. */
export abstract class PickPolicy {
  abstract pick (graph: ModelGraph, isUsable: (name: string) => boolean): StageEndpoint[] | undefined
}

/** Picks stage by stage among all endpoints that go on from the present layer, wherever they are. */
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

/** Any endpoint, each as likely as another. */
export class RandomPolicy extends StagewisePolicy {
  constructor (private readonly random: RandomSource) { super() }

  protected override choose (candidates: StageEndpoint[]): StageEndpoint {
    return this.random.pickItem(candidates)
  }
}

/** One endpoint after the other. */
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

/** The endpoint with the lowest load for its speed, as far as this entry knows. */
export class LeastLoadedPolicy extends StagewisePolicy {
  constructor (private readonly loads: LoadTable) { super() }

  protected override choose (candidates: StageEndpoint[]): StageEndpoint {
    const estimateDelay = (endpoint: StageEndpoint): number => (this.loads.estimate(endpoint.name) + 1) / endpoint.tokensPerSecond
    return candidates.reduce((best, endpoint) => estimateDelay(endpoint) < estimateDelay(best) ? endpoint : best)
  }
}

/** The better of two picked at random. */
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

/** The better of two in the data centre in which the pipeline began. */
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

/** The lower load of a few. */
class LeastLoadedChoice extends LeastLoadedPolicy {
  override choose (candidates: StageEndpoint[]): StageEndpoint {
    return super.choose(candidates)
  }
}

/** The router's own: in proportion to the maximum flow, then the better of two. */
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
