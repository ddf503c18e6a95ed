/**
 * Chooses the endpoints through which one request passes.
 *
 * Addresses many entries that send to one mixed fleet: the path has the shortest estimated time for this request, given
 * the speed of each part, the work already at the endpoints and the links between them, so that load moves to the next
 * best path before the best one is full. Parts may begin and end anywhere inside the span of an endpoint, so that any
 * copy of a layer can replace another.
 */
import type { CallEndpoint, LayerSpan } from '../calls/call-endpoint.js'

/** One part of a path. */
export interface PathPart extends LayerSpan {
  endpoint: CallEndpoint
}

/** An endpoint that holds layers and may be part of the path. */
export interface PathCandidate {
  endpoint: CallEndpoint
  span: LayerSpan
  /** Time that this request takes per layer, in milliseconds. */
  layerMs: number
  /** Time to transfer this request to the endpoint, in milliseconds, if it is the first part of the path. */
  entryMs: number
}

/** @returns time to transfer this request from one data centre to another, or within one, in milliseconds */
export type EstimateHop = (fromDataCentre: string, toDataCentre: string) => number

/** Maximum number of parts of a path. */
const maxParts = 32

/** Where a path begins. */
export interface PathStart {
  /** First layer to cover. */
  layer: number
  /** Endpoint of the preceding part, if earlier parts are fixed. */
  predecessor?: CallEndpoint
}

const fromFirstLayer: PathStart = { layer: 0 }

/** The last part of a partial path, linked to the parts before it. */
interface PathStep {
  candidate: PathCandidate
  /** Layer at which the candidate takes over. */
  from: number
  /** Cost up to the boundary that the search has reached; meaningless once another step has replaced this one. */
  costMs: number
  partCount: number
  previous: PathStep | undefined
}

/** Steps that end at the same boundary in one data centre. */
interface StepGroup {
  dataCentre: string
  steps: PathStep[]
  /** Cost of the cheapest of them, in milliseconds. */
  cheapestMs: number
}

const hasVisited = (step: PathStep, candidate: PathCandidate): boolean => {
  for (let at: PathStep | undefined = step; at !== undefined; at = at.previous) {
    if (at.candidate === candidate) return true
  }
  return false
}

const listBoundaries = (candidates: readonly PathCandidate[], from: number, layers: number): number[] => {
  const boundaries = new Set([from, layers])
  for (const { span } of candidates) {
    boundaries.add(span.from)
    boundaries.add(span.to)
  }
  return [...boundaries].filter((boundary) => boundary >= from && boundary <= layers).sort((a, b) => a - b)
}

const collectParts = (last: PathStep, layers: number): PathPart[] => {
  const parts: PathPart[] = []
  let to = layers
  for (let at: PathStep | undefined = last; at !== undefined; at = at.previous) {
    parts.unshift({ endpoint: at.candidate.endpoint, from: at.from, to })
    to = at.from
  }
  return parts
}

/**
 * One search, boundary by boundary. A transfer costs the same between any two endpoints of the same two data centres, so
 * that a candidate is reached best from the cheapest step of some data centre. The work for a boundary therefore grows
 * with the candidates that hold its layer times the data centres, and not with the square of these candidates.
 */
class PathSearch {
  private readonly boundaries: number[]
  /** Candidates whose span begins after the current boundary, by decreasing first layer. */
  private readonly upcoming: PathCandidate[]
  /** Candidates that hold the layer at the current boundary. */
  private current: PathCandidate[] = []
  /** The cheapest partial path that ends at each candidate. */
  private steps = new Map<PathCandidate, PathStep>()
  private readonly hopMs = new Map<string, Map<string, number>>()

  constructor (
    candidates: readonly PathCandidate[],
    private readonly layers: number,
    private readonly estimateHop: EstimateHop,
    private readonly start: PathStart
  ) {
    this.boundaries = listBoundaries(candidates, start.layer, layers)
    this.upcoming = [...candidates].sort((a, b) => b.span.from - a.span.from)
  }

  run (): PathPart[] | undefined {
    this.collectCurrent(this.start.layer)
    for (const candidate of this.current) this.begin(candidate)
    for (let index = 1; index < this.boundaries.length && this.steps.size > 0; index++) {
      const boundary = this.boundaries[index] as number
      this.addCosts(boundary - (this.boundaries[index - 1] as number))
      if (boundary === this.layers) return this.findCheapest()
      this.advanceTo(boundary)
    }
    return undefined
  }

  private collectCurrent (boundary: number): void {
    this.current = this.current.filter(({ span }) => span.to > boundary)
    for (let next = this.upcoming.at(-1); next !== undefined && next.span.from <= boundary; next = this.upcoming.at(-1)) {
      this.upcoming.pop()
      if (next.span.to > boundary) this.current.push(next)
    }
  }

  private begin (candidate: PathCandidate): void {
    const { layer, predecessor } = this.start
    const costMs = predecessor === undefined ? candidate.entryMs : this.getHop(predecessor.dataCentre, candidate.endpoint.dataCentre)
    this.steps.set(candidate, { candidate, from: layer, costMs, partCount: 1, previous: undefined })
  }

  private addCosts (layers: number): void {
    for (const step of this.steps.values()) step.costMs += layers * step.candidate.layerMs
  }

  /** Removes the steps whose span ends at a boundary, and extends all steps by the candidates that hold the next layer. */
  private advanceTo (boundary: number): void {
    const groups = this.collectGroups()
    for (const candidate of this.steps.keys()) {
      if (candidate.span.to <= boundary) this.steps.delete(candidate)
    }
    this.collectCurrent(boundary)
    const arrivalMs = new Map<string, number>()
    const extended: PathStep[] = []
    for (const candidate of this.current) {
      const { dataCentre } = candidate.endpoint
      const earliestMs = arrivalMs.get(dataCentre) ?? this.computeArrival(dataCentre, groups)
      arrivalMs.set(dataCentre, earliestMs)
      const existingMs = this.steps.get(candidate)?.costMs ?? Infinity
      if (earliestMs >= existingMs) continue
      const step = this.findExtension(candidate, boundary, groups, existingMs)
      if (step !== undefined) extended.push(step)
    }
    for (const step of extended) this.steps.set(step.candidate, step)
  }

  private collectGroups (): StepGroup[] {
    const groups = new Map<string, StepGroup>()
    for (const step of this.steps.values()) {
      const { dataCentre } = step.candidate.endpoint
      const group = groups.get(dataCentre)
      if (group === undefined) {
        groups.set(dataCentre, { dataCentre, steps: [step], cheapestMs: step.costMs })
        continue
      }
      group.steps.push(step)
      group.cheapestMs = Math.min(group.cheapestMs, step.costMs)
    }
    return [...groups.values()]
  }

  /** @returns the lowest cost at which any step reaches a data centre */
  private computeArrival (dataCentre: string, groups: readonly StepGroup[]): number {
    let earliestMs = Infinity
    for (const group of groups) earliestMs = Math.min(earliestMs, group.cheapestMs + this.getHop(group.dataCentre, dataCentre))
    return earliestMs
  }

  /** @returns the cheapest step to the candidate that costs less than `existingMs`, if there is any */
  private findExtension (candidate: PathCandidate, boundary: number, groups: readonly StepGroup[], existingMs: number): PathStep | undefined {
    let bestMs = existingMs
    let best: PathStep | undefined
    for (const { dataCentre, steps, cheapestMs } of groups) {
      const hopMs = this.getHop(dataCentre, candidate.endpoint.dataCentre)
      if (cheapestMs + hopMs >= bestMs) continue
      for (const step of steps) {
        if (step.costMs + hopMs >= bestMs || step.partCount >= maxParts || hasVisited(step, candidate)) continue
        bestMs = step.costMs + hopMs
        best = step
      }
    }
    return best === undefined ? undefined : { candidate, from: boundary, costMs: bestMs, partCount: best.partCount + 1, previous: best }
  }

  private getHop (from: string, to: string): number {
    const known = this.hopMs.get(from)?.get(to)
    if (known !== undefined) return known
    const hopMs = this.estimateHop(from, to)
    const row = this.hopMs.get(from) ?? new Map<string, number>()
    this.hopMs.set(from, row.set(to, hopMs))
    return hopMs
  }

  private findCheapest (): PathPart[] | undefined {
    let best: PathStep | undefined
    for (const step of this.steps.values()) {
      if (best === undefined || step.costMs < best.costMs) best = step
    }
    return best === undefined ? undefined : collectParts(best, this.layers)
  }
}

/**
 * Finds the path with the shortest estimated time.
 *
 * @param candidates - endpoints that may be used
 * @param layers - layers of the model
 * @param estimateHop - transfer time between two data centres
 * @param start - where the path begins, for a request whose earlier parts are fixed
 * @returns parts in order of layers, or `undefined` if the candidates do not cover all layers
 */
export const findPath = (
  candidates: readonly PathCandidate[],
  layers: number,
  estimateHop: EstimateHop,
  start: PathStart = fromFirstLayer
): PathPart[] | undefined => new PathSearch(candidates, layers, estimateHop, start).run()
