/**
 * Maximum flow through a directed graph, by Dinic's algorithm.
 *
 * Dinic's algorithm saturates shortest paths first, so the flow uses paths with few edges where their capacity suffices.
 */

interface Edge {
  to: number
  capacity: number
  flow: number
}

/** Flows and residual capacities up to this value count as zero, because of floating-point rounding. */
const flowTolerance = 1e-9

/** A directed graph with edge capacities and their maximum flow. */
export class FlowGraph {
  private readonly edges: Edge[] = []
  private readonly outgoing: number[][] = []
  private readonly nodes = new Map<string, number>()

  /**
   * Adds an edge between two nodes, creating the nodes if they do not exist.
   *
   * @param from - name of the start node
   * @param to - name of the end node
   * @param capacity - maximum flow over the edge, in the caller's unit
   * @returns index of the edge, for {@link getFlow}
   */
  addEdge (from: string, to: string, capacity: number): number {
    const index = this.edges.length
    this.edges.push({ to: this.getNode(to), capacity, flow: 0 })
    this.edges.push({ to: this.getNode(from), capacity: 0, flow: 0 })
    this.getOutgoing(this.getNode(from)).push(index)
    this.getOutgoing(this.getNode(to)).push(index + 1)
    return index
  }

  /** @returns the flow over an edge, valid after {@link computeMaxFlow} */
  getFlow (edge: number): number {
    return (this.edges[edge] as Edge).flow
  }

  /**
   * Computes the maximum flow and stores the flow of every edge.
   *
   * @param source - name of the source node
   * @param sink - name of the sink node
   * @returns the total flow from source to sink
   */
  computeMaxFlow (source: string, sink: string): number {
    const start = this.getNode(source)
    const end = this.getNode(sink)
    let total = 0
    for (let levels = this.computeLevels(start); levels[end] !== -1; levels = this.computeLevels(start)) {
      const nextEdge = this.outgoing.map(() => 0)
      let pushed = this.pushFlow(start, end, Infinity, levels, nextEdge)
      while (pushed > flowTolerance) {
        total += pushed
        pushed = this.pushFlow(start, end, Infinity, levels, nextEdge)
      }
    }
    return total
  }

  private getNode (name: string): number {
    const existing = this.nodes.get(name)
    if (existing !== undefined) return existing
    this.nodes.set(name, this.nodes.size)
    this.outgoing.push([])
    return this.nodes.size - 1
  }

  private getOutgoing (node: number): number[] {
    return this.outgoing[node] as number[]
  }

  private computeLevels (start: number): number[] {
    const levels = this.outgoing.map(() => -1)
    levels[start] = 0
    const nodeQueue = [start]
    for (const node of nodeQueue) {
      for (const index of this.getOutgoing(node)) {
        const edge = this.edges[index] as Edge
        if (levels[edge.to] !== -1 || edge.capacity - edge.flow <= flowTolerance) continue
        levels[edge.to] = (levels[node] as number) + 1
        nodeQueue.push(edge.to)
      }
    }
    return levels
  }

  private pushFlow (node: number, end: number, limit: number, levels: number[], nextEdge: number[]): number {
    if (node === end) return limit
    const outgoing = this.getOutgoing(node)
    for (; (nextEdge[node] as number) < outgoing.length; (nextEdge[node] as number)++) {
      const index = outgoing[nextEdge[node] as number] as number
      const edge = this.edges[index] as Edge
      const residual = edge.capacity - edge.flow
      if (residual <= flowTolerance || levels[edge.to] !== (levels[node] as number) + 1) continue
      const pushed = this.pushFlow(edge.to, end, Math.min(limit, residual), levels, nextEdge)
      if (pushed <= flowTolerance) continue
      edge.flow += pushed
      ;(this.edges[index ^ 1] as Edge).flow -= pushed
      return pushed
    }
    return 0
  }
}
