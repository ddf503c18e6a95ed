/**
 * How many requests a second a group of endpoints can serve that together hold a model once.
 *
 * Answers the load pattern of long prompts on mixed accelerators, where memory for requests fills before the processors
 * do: a group is worth what its memory holds at once, divided by the time that a request stays.
 */
import type { LayerSpan } from '../calls/call-endpoint.js'
import type { AcceleratorType, EngineTerms } from '../calls/call-terms.js'
import { countCopies } from './count-copies.js'
import { computeRoom } from './path-costs.js'

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

/** A way to share the layers of a model out over a group. */
export interface GroupPlan {
  /** Layers of each member, in order of the members. */
  shares: number[]
  /** Tokens of requests that fit into every member beside its layers. */
  roomTokens: number
  /** Requests a second. */
  rate: number
}

/** Room for requests that is tried, in tokens, largest first; each step is about a quarter less. */
const roomSteps = [130_000, 100_000, 78_000, 60_000, 46_000, 36_000, 28_000, 21_000, 16_000, 12_000, 9000, 6000, 3000, 1500]
const bytesPerMegabyte = 1_000_000
const millisecondsPerSecond = 1000
/** Delay of a token from one endpoint to the next, in milliseconds: inside a data centre, and between two. */
const hopMs = { near: 0.4, far: 0.8 } as const
/** Part of the processors' time that is used, so that bursts find some left. */
const usableShare = 0.7

/** @returns most layers that an endpoint can hold besides room for so many tokens */
export const computeCapacity = (type: AcceleratorType, engine: EngineTerms, roomTokens: number): number => {
  const tokenMbPerLayer = engine.tokenBytes / engine.layers / bytesPerMegabyte
  return Math.min(engine.layers, Math.floor(type.memoryMb / (engine.layerMb + roomTokens * tokenMbPerLayer)))
}

/** @returns the largest room with which the members can hold the model, or `undefined` */
const findRoom = (members: readonly LayoutMember[], engine: EngineTerms): number | undefined =>
  roomSteps.find((room) => members.reduce((sum, member) => sum + computeCapacity(member.type, engine, room), 0) >= engine.layers)

/** Shares the layers out so that all parts take the same time, within what each can hold. */
export const shareLayers = (members: readonly LayoutMember[], engine: EngineTerms, roomTokens: number): number[] => {
  const capacities = members.map((member) => computeCapacity(member.type, engine, roomTokens))
  const shares = members.map(() => 0)
  for (let layer = 0; layer < engine.layers; layer++) {
    let best = -1
    let bestTime = Infinity
    for (const [index, member] of members.entries()) {
      const share = shares[index] as number
      const time = (share + 1) * member.type.stepFactor
      if (share >= (capacities[index] as number) || time >= bestTime) continue
      best = index
      bestTime = time
    }
    if (best >= 0) shares[best] = (shares[best] as number) + 1
  }
  return shares
}

/** @returns requests a second that a group serves with a given split */
const computeRate = (members: readonly LayoutMember[], shares: readonly number[], engine: EngineTerms, roomTokens: number): number => {
  const { usualPromptTokens: prompt, usualAnswerTokens: answer, layers } = engine
  const atOnce = Math.min(engine.slots, roomTokens / (prompt + answer))
  const parts = shares.filter((share) => share > 0).length
  const batch = Math.max(1, atOnce / parts)
  const readMs = millisecondsPerSecond / engine.promptTokensPerSecond
  let tokenMs = 0
  let promptMs = 0
  let longestWorkMs = 0
  for (const [index, member] of members.entries()) {
    const part = (shares[index] as number) / layers
    const stepMs = part * member.type.stepFactor * (engine.stepMs + engine.requestStepMs * batch)
    const partReadMs = part * member.type.readFactor * readMs * prompt
    const isFar = members[index - 1] !== undefined && members[index - 1]?.dataCentre !== member.dataCentre
    tokenMs += stepMs + (isFar ? hopMs.far : hopMs.near)
    promptMs += partReadMs
    longestWorkMs = Math.max(longestWorkMs, partReadMs + answer * stepMs / batch)
  }
  const byMemory = atOnce / (answer * tokenMs + promptMs)
  const byWork = usableShare / longestWorkMs
  return Math.min(byMemory, byWork) * millisecondsPerSecond
}

/**
 * @param parts - endpoints of one group with what they hold
 * @returns requests a second that they serve together; 0 if they lack a layer
 */
export const computeHeldRate = (parts: readonly HeldLayers[], engine: EngineTerms): number => {
  if (countCopies(parts, engine.layers).includes(0)) return 0
  const ordered = [...parts].sort((a, b) => a.from - b.from)
  const rooms = ordered.map((part) => computeRoom(part, part.member.type, engine) / (part.to - part.from))
  const shares = ordered.map(({ from, to }) => to - from)
  return computeRate(ordered.map(({ member }) => member), shares, engine, Math.min(...rooms))
}

/** @returns the best way to share the model out over the members, or `undefined` if they cannot hold it */
export const planGroup = (members: readonly LayoutMember[], engine: EngineTerms): GroupPlan | undefined => {
  const roomTokens = findRoom(members, engine)
  if (roomTokens === undefined) return undefined
  const shares = shareLayers(members, engine, roomTokens)
  return { shares, roomTokens, rate: computeRate(members, shares, engine, roomTokens) }
}
