/**
 * Model endpoints as arithmetic: streams read their prompts and generate tokens over paths of layers, in steps of time.
 *
 * A step of an endpoint takes longer with each request in its batch, and a request waits at its endpoints until all of
 * them have memory for it. Links between data centres add their delay and are never full.
 */
import type { AcceleratorType, CallEndpoint, EndpointReport, EngineTerms, LayerSpan, PathPart, RequestSize } from '@clementineloft/routing'
import { computeRoom } from '@clementineloft/routing'

/** Delay of a token from one endpoint to the next, in milliseconds: inside a data centre, and between two. */
const hopMs = { near: 0.3, far: 3 } as const
/** Requests in a batch that double the time of reading a prompt. */
const readingBatch = 10

/** One stream at the fleet. */
export interface ReplayedStream {
  readonly parts: readonly PathPart[]
  readonly size: RequestSize
  /** Whether all endpoints of its path have memory for it. */
  hasRoom: boolean
  /** Part of the prompt that has been read, from 0 to 1. */
  readShare: number
  /** Tokens generated. */
  tokens: number
}

interface EndpointState {
  endpoint: CallEndpoint
  type: AcceleratorType
  span: LayerSpan
  streams: Set<ReplayedStream>
  usedTokenLayers: number
  totalTokenLayers: number
  /** Streams that run here as the first part of their path. */
  firsts: number
}

const countTokenLayers = ({ size }: ReplayedStream, part: PathPart): number =>
  (size.promptTokens + size.answerTokens) * (part.to - part.from)

/** A fleet whose endpoints hold their layers. */
export class ReplayedFleet {
  private readonly states = new Map<string, EndpointState>()
  private readonly streams = new Set<ReplayedStream>()

  /** @param endpoints - endpoints; those without layers do nothing */
  constructor (endpoints: readonly CallEndpoint[], private readonly engine: EngineTerms) {
    for (const endpoint of endpoints) {
      const type = engine.types.find((other) => other.name === endpoint.type)
      if (type === undefined || endpoint.layers === undefined) continue
      const totalTokenLayers = computeRoom(endpoint.layers, type, engine)
      this.states.set(endpoint.id, { endpoint, type, span: endpoint.layers, streams: new Set(), usedTokenLayers: 0, totalTokenLayers, firsts: 0 })
    }
  }

  /** @returns live endpoints that hold layers */
  listEndpoints (): CallEndpoint[] {
    return [...this.states.values()].map((state) => state.endpoint)
  }

  /** @returns what the endpoint says of itself; `undefined` if it is lost */
  report (id: string): EndpointReport | undefined {
    const state = this.states.get(id)
    if (state === undefined) return undefined
    const { endpoint, span, streams, usedTokenLayers, totalTokenLayers } = state
    const active = [...streams].filter((stream) => stream.hasRoom).length
    return { bornMs: endpoint.bornMs, layers: span, active, queued: streams.size - active, usedTokenLayers, totalTokenLayers, pace: 1 }
  }

  /** @returns the stream, or `undefined` if an endpoint of the path is lost */
  start (parts: readonly PathPart[], size: RequestSize): ReplayedStream | undefined {
    if (parts.some((part) => !this.states.has(part.endpoint.id))) return undefined
    const stream: ReplayedStream = { parts, size, hasRoom: false, readShare: 0, tokens: 0 }
    this.streams.add(stream)
    for (const part of parts) this.states.get(part.endpoint.id)?.streams.add(stream)
    this.takeRoom(stream)
    return stream
  }

  /** Ends a stream, whether or not it is complete. */
  stop (stream: ReplayedStream): void {
    if (!this.streams.delete(stream)) return
    for (const [index, part] of stream.parts.entries()) {
      const state = this.states.get(part.endpoint.id)
      if (state === undefined) continue
      state.streams.delete(stream)
      if (!stream.hasRoom) continue
      state.usedTokenLayers -= countTokenLayers(stream, part)
      if (index === 0) state.firsts--
    }
  }

  /** Loses endpoints. @returns the streams that are cut */
  lose (ids: ReadonlySet<string>): ReplayedStream[] {
    const cut = [...this.streams].filter((stream) => stream.parts.some((part) => ids.has(part.endpoint.id)))
    for (const stream of cut) this.stop(stream)
    for (const id of ids) this.states.delete(id)
    return cut
  }

  /** Lets time pass. @returns the streams that are complete; they have left */
  advance (durationMs: number): ReplayedStream[] {
    const complete: ReplayedStream[] = []
    for (const stream of [...this.streams]) {
      if (!stream.hasRoom) this.takeRoom(stream)
      if (!stream.hasRoom) continue
      this.advanceStream(stream, durationMs)
      if (stream.tokens < stream.size.answerTokens) continue
      this.stop(stream)
      complete.push(stream)
    }
    return complete
  }

  private takeRoom (stream: ReplayedStream): void {
    const states = stream.parts.map((part) => this.states.get(part.endpoint.id) as EndpointState)
    const first = states[0] as EndpointState
    if (first.firsts >= this.engine.slots) return
    const hasRoom = stream.parts.every((part, index) => {
      const { usedTokenLayers, totalTokenLayers } = states[index] as EndpointState
      return usedTokenLayers + countTokenLayers(stream, part) <= totalTokenLayers
    })
    if (!hasRoom) return
    stream.hasRoom = true
    first.firsts++
    for (const [index, part] of stream.parts.entries()) {
      (states[index] as EndpointState).usedTokenLayers += countTokenLayers(stream, part)
    }
  }

  private advanceStream (stream: ReplayedStream, durationMs: number): void {
    const readMs = this.computeReadMs(stream)
    const neededMs = (1 - stream.readShare) * readMs
    stream.readShare = Math.min(1, stream.readShare + durationMs / readMs)
    if (neededMs < durationMs) stream.tokens += (durationMs - neededMs) / this.computeTokenMs(stream)
  }

  private computeReadMs ({ parts, size }: ReplayedStream): number {
    const { layers, promptTokensPerSecond } = this.engine
    const referenceMs = size.promptTokens * 1000 / promptTokensPerSecond
    return parts.reduce((sum, part) => {
      const { type, streams } = this.states.get(part.endpoint.id) as EndpointState
      return sum + referenceMs * type.readFactor * (part.to - part.from) / layers * (1 + streams.size / readingBatch)
    }, 0)
  }

  private computeTokenMs ({ parts }: ReplayedStream): number {
    const { layers, stepMs, requestStepMs } = this.engine
    return parts.reduce((sum, part, index) => {
      const { type, streams } = this.states.get(part.endpoint.id) as EndpointState
      const before = parts[index - 1]?.endpoint.dataCentre ?? part.endpoint.dataCentre
      const hop = index === 0 ? 0 : before === part.endpoint.dataCentre ? hopMs.near : hopMs.far
      return sum + hop + type.stepFactor * (stepMs + requestStepMs * streams.size) * (part.to - part.from) / layers
    }, 0)
  }
}
