/**
 * The most streams a second that a fleet can serve with the layers that its endpoints hold, whatever the router does.
 *
 * Streams fill the memory of endpoints for as long as they stay, and stay the longer the slower the endpoints are that
 * run their layers. For a rate and a length of stay, the layers of all streams flow to the fastest endpoints that have
 * processors and memory left; the rate can be served if some length of stay is no shorter than what follows from that.
 */
import { computeRoom, FlowGraph } from '@clementineloft/routing'
import type { AcceleratorType, CallEndpoint, EngineTerms, LayerSpan } from '@clementineloft/routing'

const millisecondsPerSecond = 1000
/** Part of the bound to which it is computed. */
const precision = 0.01
/** Least difference between two bounds, in streams a second. */
const leastStep = 0.01
/** Lengths of stay that are tried, in seconds: each a fifth longer than the one before. */
const stays = Array.from({ length: 24 }, (_, index) => 0.4 * 1.2 ** index)

/** @returns time of one layer of a whole stream, alone in its batch, in milliseconds */
const computeLayerMs = ({ stepFactor, readFactor }: AcceleratorType, engine: EngineTerms): number => {
  const answerMs = engine.usualAnswerTokens * engine.stepMs * stepFactor
  const promptMs = engine.usualPromptTokens * readFactor * millisecondsPerSecond / engine.promptTokensPerSecond
  return (answerMs + promptMs) / engine.layers
}

/** @returns layers of streams a second that the processor of an endpoint can run in a batch without end */
const computeWorkRate = ({ stepFactor, readFactor }: AcceleratorType, engine: EngineTerms): number => {
  const answerMs = engine.usualAnswerTokens * engine.requestStepMs * stepFactor
  const promptMs = engine.usualPromptTokens * readFactor * millisecondsPerSecond / engine.promptTokensPerSecond
  return millisecondsPerSecond * engine.layers / (answerMs + promptMs)
}

/** @returns layers of streams a second for which an endpoint has memory */
const computeMemoryRate = (span: LayerSpan, type: AcceleratorType, engine: EngineTerms, staySeconds: number): number =>
  computeRoom(span, type, engine) / (engine.usualPromptTokens + engine.usualAnswerTokens) / staySeconds

/** Computes one bound. */
class BoundSearch {
  private readonly types: AcceleratorType[]

  constructor (private readonly endpoints: readonly CallEndpoint[], private readonly engine: EngineTerms) {
    this.types = [...engine.types].sort((a, b) => computeLayerMs(a, engine) - computeLayerMs(b, engine))
  }

  /** @returns whether so many streams a second can be served with some length of stay */
  canServe (rate: number): boolean {
    return stays.some((staySeconds) => this.computeStay(rate, staySeconds) <= staySeconds)
  }

  /** @returns mean stay of streams in seconds if memory is held for the given one; infinite if it does not suffice */
  private computeStay (rate: number, staySeconds: number): number {
    let servedByFaster = 0
    let workMs = 0
    for (const [index, type] of this.types.entries()) {
      const served = this.computeServed(rate, staySeconds, this.types.slice(0, index + 1))
      workMs += (served - servedByFaster) * computeLayerMs(type, this.engine)
      servedByFaster = served
    }
    const isWhole = servedByFaster >= rate * this.engine.layers * (1 - precision)
    return isWhole ? workMs / rate / millisecondsPerSecond : Infinity
  }

  /** @returns layers of streams a second that endpoints of some types can serve */
  private computeServed (rate: number, staySeconds: number, types: readonly AcceleratorType[]): number {
    const { engine } = this
    const graph = new FlowGraph()
    for (let layer = 0; layer < engine.layers; layer++) graph.addEdge('callers', `layer ${layer}`, rate)
    for (const { id, layers, type: name } of this.endpoints) {
      const type = types.find((other) => other.name === name)
      if (type === undefined || layers === undefined) continue
      for (let layer = layers.from; layer < layers.to; layer++) graph.addEdge(`layer ${layer}`, id, Infinity)
      const memoryRate = computeMemoryRate(layers, type, engine, staySeconds)
      graph.addEdge(id, 'served', Math.min(computeWorkRate(type, engine), memoryRate))
    }
    return graph.computeMaxFlow('callers', 'served')
  }
}

/**
 * @param endpoints - endpoints with the layers that they hold
 * @returns streams of the usual size a second
 */
export const computeFlowBound = (endpoints: readonly CallEndpoint[], engine: EngineTerms): number => {
  const search = new BoundSearch(endpoints, engine)
  let low = 0
  let high = 1
  while (search.canServe(high)) high *= 2
  while (high - low > Math.max(high * precision, leastStep)) {
    const middle = (low + high) / 2
    if (search.canServe(middle)) low = middle
    else high = middle
  }
  return low
}
