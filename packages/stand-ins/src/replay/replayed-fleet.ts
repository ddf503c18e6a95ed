/**
 * Simulates model endpoints arithmetically, in discrete time steps: streams prefill their prompts and then generate
 * tokens over paths of layers.
 *
 * The step time of an endpoint grows with each request in its batch. A stream waits until all endpoints of its path have
 * memory for it. Links between data centres add latency; their bandwidth is unlimited.
 */
import type { AcceleratorType, CallEndpoint, EndpointReport, EngineConfig, LayerSpan, PathPart, RequestSize } from '@clementineloft/routing'
import { computeTokenLayerCapacity } from '@clementineloft/routing'

/** Latency of a token from one endpoint to the next, in milliseconds. */
const hopDelayMs = { withinDataCentre: 0.3, betweenDataCentres: 3 } as const
/** Number of requests in a batch at which prefill takes twice as long as in an empty batch. */
const prefillDoublingRequests = 10

/** One stream on the fleet. */
export interface ReplayedStream {
  readonly parts: readonly PathPart[]
  readonly size: RequestSize
  /** Whether its first endpoint has given it a slot and all endpoints of its path memory. */
  isAdmitted: boolean
  /** Fraction of the prompt that has been prefilled, from 0 to 1. */
  promptProgress: number
  /** Tokens generated so far; fractional between time steps. */
  tokens: number
}

interface EndpointState {
  endpoint: CallEndpoint
  type: AcceleratorType
  span: LayerSpan
  streams: Set<ReplayedStream>
  usedTokenLayers: number
  totalTokenLayers: number
  /** Streams whose path begins at this endpoint; each occupies one slot. */
  usedSlots: number
}

const countTokenLayers = ({ size }: ReplayedStream, part: PathPart): number =>
  (size.promptTokens + size.answerTokens) * (part.to - part.from)

/** A simulated fleet in which every endpoint has already loaded its layers. */
export class ReplayedFleet {
  private readonly states = new Map<string, EndpointState>()
  private readonly streams = new Set<ReplayedStream>()

  /** @param endpoints - endpoints of the fleet; those without layers are left out */
  constructor (endpoints: readonly CallEndpoint[], private readonly engine: EngineConfig) {
    for (const endpoint of endpoints) {
      const type = engine.types.find((other) => other.name === endpoint.type)
      if (type === undefined || endpoint.layers === undefined) continue
      const totalTokenLayers = computeTokenLayerCapacity(endpoint.layers, type, engine)
      this.states.set(endpoint.id, { endpoint, type, span: endpoint.layers, streams: new Set(), usedTokenLayers: 0, totalTokenLayers, usedSlots: 0 })
    }
  }

  /** @returns live endpoints that hold layers */
  listEndpoints (): CallEndpoint[] {
    return [...this.states.values()].map((state) => state.endpoint)
  }

  /** @returns the load report of the endpoint; `undefined` if it is lost */
  report (id: string): EndpointReport | undefined {
    const state = this.states.get(id)
    if (state === undefined) return undefined
    const { endpoint, span, streams, usedTokenLayers, totalTokenLayers } = state
    const active = [...streams].filter((stream) => stream.isAdmitted).length
    return { bornMs: endpoint.bornMs, layers: span, active, queued: streams.size - active, usedTokenLayers, totalTokenLayers, pace: 1 }
  }

  /** @returns the started stream, or `undefined` if an endpoint of the path is lost */
  start (parts: readonly PathPart[], size: RequestSize): ReplayedStream | undefined {
    if (parts.some((part) => !this.states.has(part.endpoint.id))) return undefined
    const stream: ReplayedStream = { parts, size, isAdmitted: false, promptProgress: 0, tokens: 0 }
    this.streams.add(stream)
    for (const part of parts) this.states.get(part.endpoint.id)?.streams.add(stream)
    this.claimResources(stream)
    return stream
  }

  /** Removes a stream, complete or not, and frees its slot and memory. */
  stop (stream: ReplayedStream): void {
    if (!this.streams.delete(stream)) return
    for (const [index, part] of stream.parts.entries()) {
      const state = this.states.get(part.endpoint.id)
      if (state === undefined) continue
      state.streams.delete(stream)
      if (!stream.isAdmitted) continue
      state.usedTokenLayers -= countTokenLayers(stream, part)
      if (index === 0) state.usedSlots--
    }
  }

  /**
   * Removes endpoints and every stream whose path includes one of them.
   *
   * @returns the streams that are interrupted
   */
  removeEndpoints (ids: ReadonlySet<string>): ReplayedStream[] {
    const cut = [...this.streams].filter((stream) => stream.parts.some((part) => ids.has(part.endpoint.id)))
    for (const stream of cut) this.stop(stream)
    for (const id of ids) this.states.delete(id)
    return cut
  }

  /**
   * Simulates one time step.
   *
   * @returns the streams that completed; they are already removed
   */
  advance (durationMs: number): ReplayedStream[] {
    const completed: ReplayedStream[] = []
    for (const stream of [...this.streams]) {
      if (!stream.isAdmitted) this.claimResources(stream)
      if (!stream.isAdmitted) continue
      this.advanceStream(stream, durationMs)
      if (stream.tokens < stream.size.answerTokens) continue
      this.stop(stream)
      completed.push(stream)
    }
    return completed
  }

  private claimResources (stream: ReplayedStream): void {
    const states = stream.parts.map((part) => this.states.get(part.endpoint.id) as EndpointState)
    const first = states[0] as EndpointState
    if (first.usedSlots >= this.engine.slots) return
    const hasMemory = stream.parts.every((part, index) => {
      const { usedTokenLayers, totalTokenLayers } = states[index] as EndpointState
      return usedTokenLayers + countTokenLayers(stream, part) <= totalTokenLayers
    })
    if (!hasMemory) return
    stream.isAdmitted = true
    first.usedSlots++
    for (const [index, part] of stream.parts.entries()) {
      (states[index] as EndpointState).usedTokenLayers += countTokenLayers(stream, part)
    }
  }

  private advanceStream (stream: ReplayedStream, durationMs: number): void {
    const prefillMs = this.computePrefillMs(stream)
    const remainingPrefillMs = (1 - stream.promptProgress) * prefillMs
    stream.promptProgress = Math.min(1, stream.promptProgress + durationMs / prefillMs)
    if (remainingPrefillMs < durationMs) stream.tokens += (durationMs - remainingPrefillMs) / this.computeTokenIntervalMs(stream)
  }

  private computePrefillMs ({ parts, size }: ReplayedStream): number {
    const { layers, promptTokensPerSecond } = this.engine
    const referenceMs = size.promptTokens * 1000 / promptTokensPerSecond
    return parts.reduce((sum, part) => {
      const { type, streams } = this.states.get(part.endpoint.id) as EndpointState
      return sum + referenceMs * type.readFactor * (part.to - part.from) / layers * (1 + streams.size / prefillDoublingRequests)
    }, 0)
  }

  private computeTokenIntervalMs ({ parts }: ReplayedStream): number {
    const { layers, stepMs, requestStepMs } = this.engine
    return parts.reduce((sum, part, index) => {
      const { type, streams } = this.states.get(part.endpoint.id) as EndpointState
      const previousDataCentre = parts[index - 1]?.endpoint.dataCentre ?? part.endpoint.dataCentre
      const hopMs = index === 0 ? 0 : previousDataCentre === part.endpoint.dataCentre ? hopDelayMs.withinDataCentre : hopDelayMs.betweenDataCentres
      return sum + hopMs + type.stepFactor * (stepMs + requestStepMs * streams.size) * (part.to - part.from) / layers
    }, 0)
  }
}
