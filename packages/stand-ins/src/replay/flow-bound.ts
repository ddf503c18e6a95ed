/**
 * Computes an upper bound on the streams per second that a fleet can serve with the layers that its endpoints hold,
 * independent of the routing policy.
 *
 * A stream occupies memory on its endpoints for its residence time, and the residence time grows with the step time of
 * the endpoints that run its layers. For a given rate and an assumed residence time, a maximum flow assigns the layers of
 * all streams to the fastest endpoints with processor time and memory left. The rate is feasible if, for at least one
 * assumed residence time, the mean residence time that results from the flow does not exceed it.
 */
import { computeTokenLayerCapacity, FlowGraph } from '@clementineloft/routing'
import type { AcceleratorType, CallEndpoint, EngineConfig, LayerSpan } from '@clementineloft/routing'

const millisecondsPerSecond = 1000
/** Relative tolerance of the bound and of the check that a flow serves the whole rate. */
const relativeTolerance = 0.01
/** Absolute tolerance of the bound, in streams per second. It ends the search when the bound is close to zero. */
const absoluteTolerance = 0.01
/** Residence times that are tried, in seconds. Each is 20% longer than the previous one. */
const residenceTimesSeconds = Array.from({ length: 24 }, (_, index) => 0.4 * 1.2 ** index)

/** @returns processing time of one layer for a whole stream that is alone in its batch, in milliseconds */
const computeLayerMs = ({ stepFactor, readFactor }: AcceleratorType, engine: EngineConfig): number => {
  const answerMs = engine.usualAnswerTokens * engine.stepMs * stepFactor
  const promptMs = engine.usualPromptTokens * readFactor * millisecondsPerSecond / engine.promptTokensPerSecond
  return (answerMs + promptMs) / engine.layers
}

/** @returns layers of whole streams per second that the processor of an endpoint can run in a batch of unlimited size */
const computeProcessorRate = ({ stepFactor, readFactor }: AcceleratorType, engine: EngineConfig): number => {
  const answerMs = engine.usualAnswerTokens * engine.requestStepMs * stepFactor
  const promptMs = engine.usualPromptTokens * readFactor * millisecondsPerSecond / engine.promptTokensPerSecond
  return millisecondsPerSecond * engine.layers / (answerMs + promptMs)
}

/** @returns layers of whole streams per second for which an endpoint has memory, at the given residence time */
const computeMemoryRate = (span: LayerSpan, type: AcceleratorType, engine: EngineConfig, residenceSeconds: number): number =>
  computeTokenLayerCapacity(span, type, engine) / (engine.usualPromptTokens + engine.usualAnswerTokens) / residenceSeconds

/** Decides for one fleet whether a rate is feasible. */
class BoundSearch {
  private readonly types: AcceleratorType[]

  constructor (private readonly endpoints: readonly CallEndpoint[], private readonly engine: EngineConfig) {
    this.types = [...engine.types].sort((a, b) => computeLayerMs(a, engine) - computeLayerMs(b, engine))
  }

  /** @returns whether the rate, in streams per second, is feasible with any of the residence times tried */
  canServe (rate: number): boolean {
    return residenceTimesSeconds.some((residenceSeconds) => this.computeResidenceTime(rate, residenceSeconds) <= residenceSeconds)
  }

  /**
   * @returns mean residence time in seconds if each stream holds memory for `residenceSeconds`; `Infinity` if the fleet
   *   cannot serve the rate then
   */
  private computeResidenceTime (rate: number, residenceSeconds: number): number {
    let servedByFaster = 0
    let processingMs = 0
    for (const [index, type] of this.types.entries()) {
      const served = this.computeServedLayers(rate, residenceSeconds, this.types.slice(0, index + 1))
      processingMs += (served - servedByFaster) * computeLayerMs(type, this.engine)
      servedByFaster = served
    }
    const servesRate = servedByFaster >= rate * this.engine.layers * (1 - relativeTolerance)
    return servesRate ? processingMs / rate / millisecondsPerSecond : Infinity
  }

  /** @returns layers of whole streams per second that endpoints of the given types can serve */
  private computeServedLayers (rate: number, residenceSeconds: number, types: readonly AcceleratorType[]): number {
    const { engine } = this
    const graph = new FlowGraph()
    for (let layer = 0; layer < engine.layers; layer++) graph.addEdge('callers', `layer ${layer}`, rate)
    for (const { id, layers, type: name } of this.endpoints) {
      const type = types.find((other) => other.name === name)
      if (type === undefined || layers === undefined) continue
      for (let layer = layers.from; layer < layers.to; layer++) graph.addEdge(`layer ${layer}`, id, Infinity)
      const memoryRate = computeMemoryRate(layers, type, engine, residenceSeconds)
      graph.addEdge(id, 'served', Math.min(computeProcessorRate(type, engine), memoryRate))
    }
    return graph.computeMaxFlow('callers', 'served')
  }
}

/**
 * @param endpoints - endpoints with the layers that they hold; those without layers add nothing
 * @returns upper bound in streams of the usual size per second
 */
export const computeFlowBound = (endpoints: readonly CallEndpoint[], engine: EngineConfig): number => {
  const search = new BoundSearch(endpoints, engine)
  let low = 0
  let high = 1
  while (search.canServe(high)) high *= 2
  while (high - low > Math.max(high * relativeTolerance, absoluteTolerance)) {
    const middle = (low + high) / 2
    if (search.canServe(middle)) low = middle
    else high = middle
  }
  return low
}
