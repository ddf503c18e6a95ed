/**
 * The pipelines of one model as a flow graph: nodes are layer boundaries in a data centre, edges are endpoints and the
 * links between data centres. The maximum flow bounds the throughput and tells how to spread the work.
 */
import { FlowGraph } from './max-flow.js'

/** An endpoint that holds a range of a model's layers. */
export interface StageEndpoint {
  name: string
  /** Address of its sidecar, `ip:port`. */
  address: string
  dataCentre: string
  model: string
  firstLayer: number
  /** Last layer, included. */
  lastLayer: number
  /** Tokens a second that it can carry through its layers. */
  tokensPerSecond: number
}

/** Gives the capacity of a link between two data centres, in tokens a second. */
export type LinkCapacity = (from: string, to: string) => number

/** A way onward from a layer boundary in a data centre. */
export interface Branch {
  /** Endpoint to run, or `undefined` to cross to another data centre. */
  endpoint?: StageEndpoint
  /** Data centre after the branch. */
  dataCentre: string
  /** Layer boundary after the branch. */
  boundary: number
  /**
   * Tokens a second that the maximum flow sends this way, and a little of the capacity besides, so that a way that the
   * flow leaves out is found when others fail.
   */
  flow: number
}

const spareShare = 0.02

const source = 'source'
const sink = 'sink'

const formatNode = (boundary: number, dataCentre: string): string => `${boundary}@${dataCentre}`

/** The graph of one model with its maximum flow. */
export class ModelGraph {
  /** Tokens a second that all pipelines together can carry. */
  readonly maxTokensPerSecond: number
  private readonly branches = new Map<string, Branch[]>()

  /**
   * @param layers - number of layers of the model
   * @param endpoints - endpoints that hold the model's layers
   * @param linkCapacity - capacity of links between data centres
   */
  constructor (
    readonly layers: number,
    readonly endpoints: readonly StageEndpoint[],
    linkCapacity: LinkCapacity
  ) {
    const graph = new FlowGraph()
    const dataCentres = [...new Set(endpoints.map((endpoint) => endpoint.dataCentre))]
    const boundaries = [...new Set(endpoints.map((endpoint) => endpoint.firstLayer))]
    const pending: Array<{ node: string, edge: number, capacity: number, branch: Branch }> = []
    for (const dataCentre of dataCentres) {
      graph.addEdge(source, formatNode(0, dataCentre), Infinity)
      graph.addEdge(formatNode(layers, dataCentre), sink, Infinity)
    }
    for (const endpoint of endpoints) {
      const node = formatNode(endpoint.firstLayer, endpoint.dataCentre)
      const boundary = endpoint.lastLayer + 1
      const edge = graph.addEdge(node, formatNode(boundary, endpoint.dataCentre), endpoint.tokensPerSecond)
      pending.push({ node, edge, capacity: endpoint.tokensPerSecond, branch: { endpoint, dataCentre: endpoint.dataCentre, boundary, flow: 0 } })
    }
    for (const boundary of boundaries.filter((value) => value > 0)) {
      for (const from of dataCentres) {
        for (const to of dataCentres.filter((name) => name !== from)) {
          const node = formatNode(boundary, from)
          const capacity = linkCapacity(from, to)
          const edge = graph.addEdge(node, formatNode(boundary, to), capacity)
          pending.push({ node, edge, capacity: 0, branch: { dataCentre: to, boundary, flow: 0 } })
        }
      }
    }
    this.maxTokensPerSecond = graph.computeMaxFlow(source, sink)
    for (const { node, edge, capacity, branch } of pending) {
      const flow = Math.max(0, graph.getFlow(edge)) + spareShare * capacity
      const known = this.branches.get(node) ?? []
      this.branches.set(node, [...known, { ...branch, flow }])
    }
  }

  /**
   * @param boundary - number of layers already run
   * @param dataCentre - where the work stands
   * @returns every way onward, with its flow
   */
  listBranches (boundary: number, dataCentre: string): readonly Branch[] {
    return this.branches.get(formatNode(boundary, dataCentre)) ?? []
  }

  /** @returns the data centres in which a pipeline can begin, with the flow that begins there */
  listStarts (): Branch[] {
    const starts = [...new Set(this.endpoints.filter((endpoint) => endpoint.firstLayer === 0).map((endpoint) => endpoint.dataCentre))]
    return starts.map((dataCentre) => {
      const flow = this.listBranches(0, dataCentre).reduce((sum, branch) => sum + branch.flow, 0)
      return { dataCentre, boundary: 0, flow }
    })
  }
}
