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

/** @returns time to transfer this request from one endpoint to another, in milliseconds */
export type EstimateHop = (from: CallEndpoint, to: CallEndpoint) => number

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
  costMs: number
  partCount: number
  previous: PathStep | undefined
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
 * Finds the path with the shortest estimated time.
 *
 * @param candidates - endpoints that may be used
 * @param layers - layers of the model
 * @param estimateHop - transfer time between two endpoints
 * @param start - where the path begins, for a request whose earlier parts are fixed
 * @returns parts in order of layers, or `undefined` if the candidates do not cover all layers
 */
export const findPath = (
  candidates: readonly PathCandidate[],
  layers: number,
  estimateHop: EstimateHop,
  start: PathStart = fromFirstLayer
): PathPart[] | undefined => {
  const boundaries = listBoundaries(candidates, start.layer, layers)
  let steps = new Map<PathCandidate, PathStep>()
  for (const candidate of candidates) {
    if (candidate.span.from > start.layer || candidate.span.to <= start.layer) continue
    const costMs = start.predecessor === undefined ? candidate.entryMs : estimateHop(start.predecessor, candidate.endpoint)
    steps.set(candidate, { candidate, from: start.layer, costMs, partCount: 1, previous: undefined })
  }
  for (let index = 1; index < boundaries.length; index++) {
    const boundary = boundaries[index] as number
    const length = boundary - (boundaries[index - 1] as number)
    const advanced = [...steps.values()].map((step) => ({ ...step, costMs: step.costMs + length * step.candidate.layerMs }))
    if (boundary === layers) return findCheapest(advanced, layers)
    steps = new Map()
    for (const step of advanced) {
      if (step.candidate.span.to > boundary) keepCheaper(steps, step)
    }
    for (const candidate of candidates) {
      if (candidate.span.from > boundary || candidate.span.to <= boundary) continue
      for (const step of advanced) {
        if (step.partCount >= maxParts || hasVisited(step, candidate)) continue
        const costMs = step.costMs + estimateHop(step.candidate.endpoint, candidate.endpoint)
        const existing = steps.get(candidate)
        if (existing !== undefined && existing.costMs <= costMs) continue
        steps.set(candidate, { candidate, from: boundary, costMs, partCount: step.partCount + 1, previous: step })
      }
    }
  }
  return undefined
}

const keepCheaper = (steps: Map<PathCandidate, PathStep>, step: PathStep): void => {
  const existing = steps.get(step.candidate)
  if (existing === undefined || step.costMs < existing.costMs) steps.set(step.candidate, step)
}

const findCheapest = (steps: readonly PathStep[], layers: number): PathPart[] | undefined => {
  let best: PathStep | undefined
  for (const step of steps) {
    if (best === undefined || step.costMs < best.costMs) best = step
  }
  return best === undefined ? undefined : collectParts(best, layers)
}
