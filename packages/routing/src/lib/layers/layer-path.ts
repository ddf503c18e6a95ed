/**
 * Chooses the endpoints through which one request passes.
 *
 * Answers the load pattern of many entries that send to one mixed fleet: the path with the shortest time for this
 * request, from the speed of each part, the work already there and the links between, so that load moves to the next
 * best path before the best one is full. Parts may begin and end anywhere inside what an endpoint holds, so that any
 * copy of a layer can stand in for another.
 */
import type { CallEndpoint, LayerSpan } from '../calls/call-endpoint.js'

/** One part of a path. */
export interface PathPart extends LayerSpan {
  endpoint: CallEndpoint
}

/** An endpoint that holds layers and may be on the path. */
export interface PathCandidate {
  endpoint: CallEndpoint
  span: LayerSpan
  /** Time of this request in one layer, in milliseconds. */
  layerMs: number
  /** Time to hand this request to the first layer there, in milliseconds, if it is the first part. */
  entryMs: number
}

/** @returns time to hand this request from one endpoint to another, in milliseconds */
export type EstimateHop = (from: CallEndpoint, to: CallEndpoint) => number

/** Most parts of a path. */
const maxParts = 32

/** Where a path begins. */
export interface PathStart {
  /** First layer to cover. */
  layer: number
  /** Endpoint that hands the request over, if parts before it are fixed. */
  after?: CallEndpoint
}

const wholePath: PathStart = { layer: 0 }

interface Step {
  candidate: PathCandidate
  /** Layer at which the candidate begins. */
  from: number
  costMs: number
  parts: number
  before: Step | undefined
}

const hasVisited = (step: Step, candidate: PathCandidate): boolean => {
  for (let at: Step | undefined = step; at !== undefined; at = at.before) {
    if (at.candidate === candidate) return true
  }
  return false
}

const listBorders = (candidates: readonly PathCandidate[], from: number, layers: number): number[] => {
  const borders = new Set([from, layers])
  for (const { span } of candidates) {
    borders.add(span.from)
    borders.add(span.to)
  }
  return [...borders].filter((border) => border >= from && border <= layers).sort((a, b) => a - b)
}

const collectParts = (last: Step, layers: number): PathPart[] => {
  const parts: PathPart[] = []
  let to = layers
  for (let at: Step | undefined = last; at !== undefined; at = at.before) {
    parts.unshift({ endpoint: at.candidate.endpoint, from: at.from, to })
    to = at.from
  }
  return parts
}

/**
 * Finds the path of least time.
 *
 * @param candidates - endpoints that may be used
 * @param layers - layers of the model
 * @param estimateHop - time between two endpoints
 * @param start - where the path begins, for a request of which earlier parts stay
 * @returns parts in order of layers, or `undefined` if the candidates leave a gap
 */
export const findPath = (
  candidates: readonly PathCandidate[],
  layers: number,
  estimateHop: EstimateHop,
  start: PathStart = wholePath
): PathPart[] | undefined => {
  const borders = listBorders(candidates, start.layer, layers)
  let steps = new Map<PathCandidate, Step>()
  for (const candidate of candidates) {
    if (candidate.span.from > start.layer || candidate.span.to <= start.layer) continue
    const costMs = start.after === undefined ? candidate.entryMs : estimateHop(start.after, candidate.endpoint)
    steps.set(candidate, { candidate, from: start.layer, costMs, parts: 1, before: undefined })
  }
  for (let index = 1; index < borders.length; index++) {
    const border = borders[index] as number
    const length = border - (borders[index - 1] as number)
    const arrived = [...steps.values()].map((step) => ({ ...step, costMs: step.costMs + length * step.candidate.layerMs }))
    if (border === layers) return findCheapest(arrived, layers)
    steps = new Map()
    for (const step of arrived) {
      if (step.candidate.span.to > border) keepCheaper(steps, step)
    }
    for (const candidate of candidates) {
      if (candidate.span.from > border || candidate.span.to <= border) continue
      for (const step of arrived) {
        if (step.parts >= maxParts || hasVisited(step, candidate)) continue
        const costMs = step.costMs + estimateHop(step.candidate.endpoint, candidate.endpoint)
        const known = steps.get(candidate)
        if (known !== undefined && known.costMs <= costMs) continue
        steps.set(candidate, { candidate, from: border, costMs, parts: step.parts + 1, before: step })
      }
    }
  }
  return undefined
}

const keepCheaper = (steps: Map<PathCandidate, Step>, step: Step): void => {
  const known = steps.get(step.candidate)
  if (known === undefined || step.costMs < known.costMs) steps.set(step.candidate, step)
}

const findCheapest = (steps: readonly Step[], layers: number): PathPart[] | undefined => {
  let best: Step | undefined
  for (const step of steps) {
    if (best === undefined || step.costMs < best.costMs) best = step
  }
  return best === undefined ? undefined : collectParts(best, layers)
}
