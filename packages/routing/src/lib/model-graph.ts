/**
 * The pipelines of one model as a flow graph: a node is a layer boundary in a data centre, an edge is an endpoint or a
 * link between data centres. The maximum flow bounds the total throughput and gives the weights for distributing work.
 */
import { FlowGraph } from './max-flow.js'

/** An endpoint that holds a contiguous range of a model's layers. */
export interface StageEndpoint {
  name: string
  /** Address of its sidecar, `ip:port`. */
  address: string
  dataCentre: string
  model: string
  firstLayer: number
  /** Last layer, inclusive. */
  lastLayer: number
  /** Capacity: tokens per second that it can process through its layers. */
  tokensPerSecond: number
}

/** Returns the capacity of the link between two data centres, in tokens per second. */
export type LinkCapacity = (from: string, to: string) => number

/** An edge out of a layer boundary in a data centre. */
export interface Branch {
  /** Endpoint that runs the next layers, or `undefined` for a link to another data centre. */
  endpoint?: StageEndpoint
  /** Data centre that the branch leads to. */
  dataCentre: string
  /** Layer boundary that the branch leads to: the number of layers already run. */
  boundary: number
  /**
   * Relative probability of this branch, in tokens per second: its share of the maximum flow, plus a small part of the
   * endpoint's capacity so that an endpoint without any flow is still picked when others fail.
   */
  weight: number
}

/** Share of an endpoint's capacity that is added to its weight. */
const capacityWeightShare = 0.02

const source = 'source'
const sink = 'sink'

const formatNode = (boundary: number, dataCentre: string): string => `${boundary}@${dataCentre}`

/** The pipeline graph of one model, with a weight from the maximum flow on every branch. */
export class ModelGraph {
  /** Maximum total throughput of all pipelines, in tokens per second. */
  readonly maxTokensPerSecond: number
  private readonly branches = new Map<string, Branch[]>()

  /**
   * @param layers - number of layers in the model
   * @param endpoints - endpoints that hold the model's layers
   * @param linkCapacity - capacity of the links between data centres
   */
  constructor (
    readonly layers: number,
    readonly endpoints: readonly StageEndpoint[],
    linkCapacity: LinkCapacity
  ) {
    const graph = new FlowGraph()
    const dataCentres = [...new Set(endpoints.map((endpoint) => endpoint.dataCentre))]
    const boundaries = [...new Set(endpoints.map((endpoint) => endpoint.firstLayer))]
    const branchEdges: Array<{ node: string, edge: number, capacity: number, branch: Branch }> = []
    for (const dataCentre of dataCentres) {
      graph.addEdge(source, formatNode(0, dataCentre), Infinity)
      graph.addEdge(formatNode(layers, dataCentre), sink, Infinity)
    }
    for (const endpoint of endpoints) {
      const node = formatNode(endpoint.firstLayer, endpoint.dataCentre)
      const boundary = endpoint.lastLayer + 1
      const edge = graph.addEdge(node, formatNode(boundary, endpoint.dataCentre), endpoint.tokensPerSecond)
      branchEdges.push({ node, edge, capacity: endpoint.tokensPerSecond, branch: { endpoint, dataCentre: endpoint.dataCentre, boundary, weight: 0 } })
    }
    for (const boundary of boundaries.filter((value) => value > 0)) {
      for (const from of dataCentres) {
        for (const to of dataCentres.filter((name) => name !== from)) {
          const node = formatNode(boundary, from)
          const capacity = linkCapacity(from, to)
          const edge = graph.addEdge(node, formatNode(boundary, to), capacity)
          branchEdges.push({ node, edge, capacity: 0, branch: { dataCentre: to, boundary, weight: 0 } })
        }
      }
    }
    this.maxTokensPerSecond = graph.computeMaxFlow(source, sink)
    for (const { node, edge, capacity, branch } of branchEdges) {
      const weight = Math.max(0, graph.getFlow(edge)) + capacityWeightShare * capacity
      const existing = this.branches.get(node) ?? []
      this.branches.set(node, [...existing, { ...branch, weight }])
    }
  }

  /**
   * @param boundary - number of layers already run
   * @param dataCentre - data centre that holds the current activations
   * @returns all branches from there, with their weights
   */
  listBranches (boundary: number, dataCentre: string): readonly Branch[] {
    return this.branches.get(formatNode(boundary, dataCentre)) ?? []
  }

  /** @returns one branch for each data centre in which a pipeline can begin, with the total weight of its first stages */
  listStarts (): Branch[] {
    const starts = [...new Set(this.endpoints.filter((endpoint) => endpoint.firstLayer === 0).map((endpoint) => endpoint.dataCentre))]
    return starts.map((dataCentre) => {
      const weight = this.listBranches(0, dataCentre).reduce((sum, branch) => sum + branch.weight, 0)
      return { dataCentre, boundary: 0, weight }
    })
  }
}
