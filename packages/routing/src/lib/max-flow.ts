/**
 * Maximum flow through a directed graph, by Dinic's algorithm.
 *
 * Shortest paths are filled first, so flow prefers few edges where capacity allows.
 */

interface Edge {
  to: number
  capacity: number
  flow: number
}

const epsilon = 1e-9

/** A graph with capacities whose maximum flow can be computed. */
export class FlowGraph {
  private readonly edges: Edge[] = []
  private readonly outgoing: number[][] = []
  private readonly nodes = new Map<string, number>()

  /**
   * Adds an edge between two nodes, which are created as needed.
   *
   * @param from - name of the start node
   * @param to - name of the end node
   * @param capacity - most that can flow, in the caller's unit
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

  /** @returns what flows over an edge after {@link computeMaxFlow} */
  getFlow (edge: number): number {
    return (this.edges[edge] as Edge).flow
  }

  /**
   * Fills the graph.
   *
   * @param source - name of the node where flow begins
   * @param sink - name of the node where it ends
   * @returns the total flow
   */
  computeMaxFlow (source: string, sink: string): number {
    const start = this.getNode(source)
    const end = this.getNode(sink)
    let total = 0
    for (let levels = this.computeLevels(start); levels[end] !== -1; levels = this.computeLevels(start)) {
      const nextEdge = this.outgoing.map(() => 0)
      let pushed = this.push(start, end, Infinity, levels, nextEdge)
      while (pushed > epsilon) {
        total += pushed
        pushed = this.push(start, end, Infinity, levels, nextEdge)
      }
    }
    return total
  }

  private getNode (name: string): number {
    const known = this.nodes.get(name)
    if (known !== undefined) return known
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
    const pending = [start]
    for (const node of pending) {
      for (const index of this.getOutgoing(node)) {
        const edge = this.edges[index] as Edge
        if (levels[edge.to] !== -1 || edge.capacity - edge.flow <= epsilon) continue
        levels[edge.to] = (levels[node] as number) + 1
        pending.push(edge.to)
      }
    }
    return levels
  }

  private push (node: number, end: number, limit: number, levels: number[], nextEdge: number[]): number {
    if (node === end) return limit
    const outgoing = this.getOutgoing(node)
    for (; (nextEdge[node] as number) < outgoing.length; (nextEdge[node] as number)++) {
      const index = outgoing[nextEdge[node] as number] as number
      const edge = this.edges[index] as Edge
      const room = edge.capacity - edge.flow
      if (room <= epsilon || levels[edge.to] !== (levels[node] as number) + 1) continue
      const pushed = this.push(edge.to, end, Math.min(limit, room), levels, nextEdge)
      if (pushed <= epsilon) continue
      edge.flow += pushed
      ;(this.edges[index ^ 1] as Edge).flow -= pushed
      return pushed
    }
    return 0
  }
}
