/**
 * Picks the endpoints of a pipeline by weighted power of two choices: draws two branches with probability proportional to
 * their weight in the maximum flow, then takes the endpoint with the lower estimated delay.
 */
import type { RandomSource } from '@clementineloft/kernel'
import type { LoadTable } from './load-table.js'
import type { Branch, ModelGraph, StageEndpoint } from './model-graph.js'

/** Picks pipelines, and replacements for single stages, from a model's graph. */
export class PipelinePicker {
  constructor (
    private readonly loads: LoadTable,
    private readonly random: RandomSource
  ) {}

  /**
   * Picks one endpoint for each stage of a new pipeline.
   *
   * @param graph - graph of the model
   * @param isUsable - whether an endpoint may take new work
   * @returns endpoints in layer order, or `undefined` if the usable endpoints do not cover all layers
   */
  pick (graph: ModelGraph, isUsable: (name: string) => boolean): StageEndpoint[] | undefined {
    const isReachable = this.createReachabilityCheck(graph, isUsable)
    const starts = graph.listStarts().filter((start) => isReachable(start.boundary, start.dataCentre))
    let current = this.pickByWeight(starts)
    const pipeline: StageEndpoint[] = []
    while (current !== undefined && current.boundary < graph.layers) {
      const hasJustCrossed: boolean = current.endpoint === undefined && pipeline.length > 0
      const branches = graph.listBranches(current.boundary, current.dataCentre)
        .filter((branch) => branch.endpoint === undefined ? !hasJustCrossed : isUsable(branch.endpoint.name))
        .filter((branch) => branch.endpoint === undefined
          ? this.hasUsableEndpoint(graph, branch, isUsable, isReachable)
          : isReachable(branch.boundary, branch.dataCentre))
      current = this.pickBranch(branches)
      if (current?.endpoint !== undefined) pipeline.push(current.endpoint)
    }
    return current === undefined ? undefined : pipeline
  }

  /**
   * Picks another endpoint for one stage, in the same data centre if possible.
   *
   * @param graph - graph of the model
   * @param replaced - endpoint to replace
   * @param isUsable - whether an endpoint may take new work
   * @returns an endpoint that holds the same layers, or `undefined` if no other usable endpoint does
   */
  pickReplacement (
    graph: ModelGraph,
    replaced: StageEndpoint,
    isUsable: (name: string) => boolean
  ): StageEndpoint | undefined {
    const candidates = graph.endpoints.filter((endpoint) =>
      endpoint.firstLayer === replaced.firstLayer && endpoint.lastLayer === replaced.lastLayer &&
      endpoint.name !== replaced.name && isUsable(endpoint.name))
    const sameDataCentre = candidates.filter((endpoint) => endpoint.dataCentre === replaced.dataCentre)
    const preferred = sameDataCentre.length > 0 ? sameDataCentre : candidates
    if (preferred.length === 0) return undefined
    return this.pickBetter(this.random.pickItem(preferred), this.random.pickItem(preferred))
  }

  private pickBranch (branches: readonly Branch[]): Branch | undefined {
    const first = this.pickByWeight(branches)
    if (first?.endpoint === undefined) return first
    const endpointBranches = branches.filter((branch) => branch.endpoint !== undefined)
    const second = this.pickByWeight(endpointBranches)
    if (second?.endpoint === undefined) return first
    return this.pickBetter(first.endpoint, second.endpoint) === first.endpoint ? first : second
  }

  private pickBetter (first: StageEndpoint, second: StageEndpoint): StageEndpoint {
    return this.estimateDelay(second) < this.estimateDelay(first) ? second : first
  }

  private estimateDelay (endpoint: StageEndpoint): number {
    return (this.loads.estimate(endpoint.name) + 1) / endpoint.tokensPerSecond
  }

  private pickByWeight (branches: readonly Branch[]): Branch | undefined {
    if (branches.length === 0) return undefined
    const total = branches.reduce((sum, branch) => sum + branch.weight, 0)
    if (total <= 0) return this.random.pickItem(branches)
    let remaining = this.random.next() * total
    for (const branch of branches) {
      remaining -= branch.weight
      if (remaining < 0) return branch
    }
    return branches.at(-1)
  }

  private hasUsableEndpoint (
    graph: ModelGraph,
    crossing: Branch,
    isUsable: (name: string) => boolean,
    isReachable: (boundary: number, dataCentre: string) => boolean
  ): boolean {
    return graph.listBranches(crossing.boundary, crossing.dataCentre).some((branch) =>
      branch.endpoint !== undefined && isUsable(branch.endpoint.name) && isReachable(branch.boundary, branch.dataCentre))
  }

  private createReachabilityCheck (
    graph: ModelGraph,
    isUsable: (name: string) => boolean
  ): (boundary: number, dataCentre: string) => boolean {
    const boundaries = new Set([graph.layers])
    const usable = graph.endpoints.filter((endpoint) => isUsable(endpoint.name))
    const byLastLayer = [...usable].sort((a, b) => b.lastLayer - a.lastLayer)
    for (const endpoint of byLastLayer) {
      if (boundaries.has(endpoint.lastLayer + 1)) boundaries.add(endpoint.firstLayer)
    }
    const dataCentres = new Set(graph.endpoints.map((endpoint) => endpoint.dataCentre))
    return (boundary, dataCentre) => boundaries.has(boundary) && dataCentres.has(dataCentre)
  }
}
