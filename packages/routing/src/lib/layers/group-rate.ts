/**
 * Estimates how many requests per second a group of endpoints serves that together hold one copy of a model.
 *
 * Addresses long prompts on mixed accelerators, where the memory for requests fills before the processors are saturated:
 * the rate of a group is the number of requests that fit into its memory at once, divided by the time that a request
 * stays in it.
 */
import type { LayerSpan } from '../calls/call-endpoint.js'
import type { AcceleratorType, EngineConfig } from '../calls/call-config.js'
import { computeBatchedRate } from './batched-rate.js'
import { countCopies } from './count-copies.js'
import { LayoutGoal } from './layout-goal.js'
import type { LayoutTerms } from './layout-goal.js'
import { computeTokenLayerCapacity } from './path-costs.js'

/** An endpoint that may hold layers. */
export interface LayoutMember {
  address: string
  dataCentre: string
  type: AcceleratorType
}

/** Layers that an endpoint holds. */
export interface HeldLayers extends LayerSpan {
  member: LayoutMember
}

/** A distribution of the layers of a model over a group. */
export interface GroupPlan {
  /** Number of layers of each member, in order of the members. */
  shares: number[]
  /** Request tokens that fit into the memory of every member beside its layers. */
  tokenCapacity: number
  /** Requests per second. */
  rate: number
}

/** Token capacities to try, in request tokens, largest first; most steps are about a quarter smaller than the one before. */
const tokenCapacitySteps = [130_000, 100_000, 78_000, 60_000, 46_000, 36_000, 28_000, 21_000, 16_000, 12_000, 9000, 6000, 3000, 1500]
/** Minimum request tokens for which a plan for time gives up a larger capacity; a long prompt still fits beside others. */
const minTimedTokenCapacity = 21_000
const bytesPerMegabyte = 1_000_000
const millisecondsPerSecond = 1000
/** Delay of a token from one endpoint to the next, in milliseconds, within a data centre and between two. */
const hopMs = { local: 0.4, remote: 0.8 } as const
/** Maximum processor utilization to plan for; the rest is reserved for bursts. */
const maxUtilization = 0.7

/** @returns maximum number of layers that an endpoint can hold beside memory for the given number of request tokens */
export const computeMaxLayers = (type: AcceleratorType, engine: EngineConfig, tokenCapacity: number): number => {
  const tokenMbPerLayer = engine.tokenBytes / engine.layers / bytesPerMegabyte
  return Math.min(engine.layers, Math.floor(type.memoryMb / (engine.layerMb + tokenCapacity * tokenMbPerLayer)))
}

/** @returns the largest token capacity with which the members can hold the model, or `undefined` if there is none */
const findTokenCapacity = (members: readonly LayoutMember[], engine: EngineConfig): number | undefined =>
  tokenCapacitySteps.find((capacity) => members.reduce((sum, member) => sum + computeMaxLayers(member.type, engine, capacity), 0) >= engine.layers)

/** Distributes the layers so that all parts take about the same time, within the memory limit of each member. */
export const shareLayers = (members: readonly LayoutMember[], engine: EngineConfig, tokenCapacity: number): number[] => {
  const maxLayerCounts = members.map((member) => computeMaxLayers(member.type, engine, tokenCapacity))
  const shares = members.map(() => 0)
  for (let layer = 0; layer < engine.layers; layer++) {
    let best = -1
    let bestTime = Infinity
    for (const [index, member] of members.entries()) {
      const share = shares[index] as number
      const time = (share + 1) * member.type.stepFactor
      if (share >= (maxLayerCounts[index] as number) || time >= bestTime) continue
      best = index
      bestTime = time
    }
    if (best >= 0) shares[best] = (shares[best] as number) + 1
  }
  return shares
}

/** @returns requests per second that a group serves with the given distribution of layers */
const computeRate = (members: readonly LayoutMember[], shares: readonly number[], engine: LayoutTerms, tokenCapacity: number): number => {
  if (engine.goal === LayoutGoal.time) return computeBatchedRate(members, shares, engine, tokenCapacity)
  const { usualPromptTokens: prompt, usualAnswerTokens: answer, layers } = engine
  const concurrency = Math.min(engine.slots, tokenCapacity / (prompt + answer))
  const partCount = shares.filter((share) => share > 0).length
  const batchSize = Math.max(1, concurrency / partCount)
  const prefillTokenMs = millisecondsPerSecond / engine.promptTokensPerSecond
  let tokenMs = 0
  let promptMs = 0
  let maxPartMs = 0
  for (const [index, member] of members.entries()) {
    const layerFraction = (shares[index] as number) / layers
    const stepMs = layerFraction * member.type.stepFactor * (engine.stepMs + engine.requestStepMs * batchSize)
    const partPrefillMs = layerFraction * member.type.readFactor * prefillTokenMs * prompt
    const isRemote = members[index - 1] !== undefined && members[index - 1]?.dataCentre !== member.dataCentre
    tokenMs += stepMs + (isRemote ? hopMs.remote : hopMs.local)
    promptMs += partPrefillMs
    maxPartMs = Math.max(maxPartMs, partPrefillMs + answer * stepMs / batchSize)
  }
  const memoryBound = concurrency / (answer * tokenMs + promptMs)
  const processorBound = maxUtilization / maxPartMs
  return Math.min(memoryBound, processorBound) * millisecondsPerSecond
}

/**
 * @param parts - endpoints of one group with their layers
 * @returns requests per second that they serve together; 0 if any layer is held by no endpoint
 */
export const computeHeldRate = (parts: readonly HeldLayers[], engine: LayoutTerms): number => {
  if (countCopies(parts, engine.layers).includes(0)) return 0
  const ordered = [...parts].sort((a, b) => a.from - b.from)
  const tokenCapacities = ordered.map((part) => computeTokenLayerCapacity(part, part.member.type, engine) / (part.to - part.from))
  const shares = ordered.map(({ from, to }) => to - from)
  return computeRate(ordered.map(({ member }) => member), shares, engine, Math.min(...tokenCapacities))
}

const createPlan = (members: readonly LayoutMember[], engine: LayoutTerms, tokenCapacity: number): GroupPlan => {
  const shares = shareLayers(members, engine, tokenCapacity)
  return { shares, tokenCapacity, rate: computeRate(members, shares, engine, tokenCapacity) }
}

/**
 * @returns the plan with the largest token capacity, or for {@link LayoutGoal.time} the one with the highest rate among
 *   those with room for several long requests; `undefined` if the members cannot hold the model
 */
export const planGroup = (members: readonly LayoutMember[], engine: LayoutTerms): GroupPlan | undefined => {
  const largest = findTokenCapacity(members, engine)
  if (largest === undefined) return undefined
  const first = createPlan(members, engine, largest)
  if (engine.goal !== LayoutGoal.time) return first
  const others = tokenCapacitySteps.filter((capacity) => capacity < largest && capacity >= minTimedTokenCapacity)
  return others.map((capacity) => createPlan(members, engine, capacity)).reduce((best, plan) => plan.rate > best.rate ? plan : best, first)
}
