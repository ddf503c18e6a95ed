/**
 * Chooses the least loaded of a random sample.
 *
 * Addresses many entries that choose by similar information at the same time: a sample of their own keeps them from all
 * choosing the same candidate, and a candidate that works faster is in more samples.
 */
import type { RandomSource } from '@clementineloft/kernel'

/** One candidate of the choice. */
export interface SampleCandidate {
  /** Relative probability of being drawn; above 0. */
  weight: number
  /** The lowest one of the sample is chosen. */
  work: number
}

/**
 * @param candidates - at least one candidate
 * @param draws - number of draws with replacement from which the sample results
 * @returns index of the chosen candidate
 */
export const chooseFromSample = (candidates: readonly SampleCandidate[], draws: number, random: RandomSource): number => {
  const totalWeight = candidates.reduce((sum, { weight }) => sum + weight, 0)
  let best: number | undefined
  let lowestWork = Infinity
  for (const [index, { weight, work }] of candidates.entries()) {
    const isDrawn = random.next() >= (1 - weight / totalWeight) ** draws
    if (!isDrawn || work >= lowestWork) continue
    best = index
    lowestWork = work
  }
  return best ?? pickIndex(candidates, totalWeight, random)
}

const pickIndex = (candidates: readonly SampleCandidate[], totalWeight: number, random: RandomSource): number => {
  let remaining = random.next() * totalWeight
  const index = candidates.findIndex(({ weight }) => {
    remaining -= weight
    return remaining < 0
  })
  return Math.max(0, index)
}
