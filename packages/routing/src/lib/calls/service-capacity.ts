/**
 * Capacity of a model service as its endpoints report it.
 */
import type { EndpointReport } from './endpoint-report.js'

/** Capacity of one service. */
export interface ServiceCapacity {
  /** Request memory in tokens over all layers: what the layer with the least of it has. */
  freeTokens: number
  totalTokens: number
  /** Free slots of the endpoints that are the first of a path. */
  freeSlots: number
}

/** Fraction of request memory that requests may fill; the rest is for answers that exceed their expected length. */
const maxFillRatio = 0.9

const boundNumber = (value: number): number => value > 0 && value < Infinity ? value : 0

/**
 * @param reports - of the usable endpoints of the service
 * @param layers - number of layers of the model
 * @param slots - number of requests that the first endpoint of a path takes
 */
export const computeServiceCapacity = (reports: readonly EndpointReport[], layers: number, slots: number): ServiceCapacity => {
  const free = new Array<number>(layers).fill(0)
  const total = new Array<number>(layers).fill(0)
  let freeSlots = 0
  for (const { layers: span, active, queued, usedTokenLayers, totalTokenLayers } of reports) {
    if (span === undefined || span.from < 0 || span.to > layers || span.to <= span.from) continue
    const fillable = boundNumber(totalTokenLayers) * maxFillRatio
    const width = span.to - span.from
    for (let layer = span.from; layer < span.to; layer++) {
      free[layer] = (free[layer] as number) + Math.max(0, fillable - boundNumber(usedTokenLayers)) / width
      total[layer] = (total[layer] as number) + fillable / width
    }
    if (span.from === 0) freeSlots += Math.max(0, slots - active - queued)
  }
  if (layers <= 0) return { freeTokens: 0, totalTokens: 0, freeSlots: 0 }
  return { freeTokens: Math.min(...free), totalTokens: Math.min(...total), freeSlots }
}
