/**
 * Replays streams whose memory grows with their answers, on endpoints that each hold all layers. An endpoint that runs out of
 * memory preempts its newest stream, which starts over.
 */
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import { AnswerLengths, computeTokenLayerCapacity, PathCosts } from '@clementineloft/routing'
import type { CallEndpoint, EngineConfig, LayerSpan, PathPart, RequestSize } from '@clementineloft/routing'

/** A load of streams. */
export interface MemoryLoad {
  endpoints: number
  entries: number
  seconds: number
  /** @returns arrivals per second at a time in seconds */
  getRate: (second: number) => number
  /** @returns mean answer in tokens at a time in seconds; callers state its median, half of it */
  getAnswerTokens: (second: number) => number
}

/** Outcome of a load. */
export interface MemoryResult {
  arrived: number
  served: number
  refused: number
  /** Callers that left since their stream made no progress. */
  left: number
  preempted: number
  /** Tokens of prompts and answers that were lost to preemptions. */
  lostTokens: number
}

interface Caller { size: RequestSize, actualTokens: number, untilMs: number }

interface Stream extends Caller { entry: Entry, parts: PathPart[], readTokens: number, tokens: number, sentTokens: number, progressMs: number }

interface Entry { costs: PathCosts, lengths: AnswerLengths, waiting: Caller[] }

interface EndpointState { endpoint: CallEndpoint, streams: Stream[], queue: Stream[] }

const tickMs = 20
const reportMs = 300
const maxWaitMs = 1500
/** Time without an event after which a caller leaves, in milliseconds. */
const leaveMs = 2000
/** Tokens of a prompt read, and of an answer generated, by each stream in a tick. */
const promptTokensPerTick = 400
const answerTokensPerTick = 2
const route = 'r'

/** One replay, with or without memory reserved for answers. */
export class MemoryReplay {
  private readonly clock = new ManualClock()
  private readonly random: SeededRandom
  private readonly states: EndpointState[]
  private readonly entries: Entry[]
  private readonly result: MemoryResult = { arrived: 0, served: 0, refused: 0, left: 0, preempted: 0, lostTokens: 0 }

  constructor (private readonly load: MemoryLoad, private readonly engine: EngineConfig, reservesAnswers: boolean, seed: number) {
    this.random = new SeededRandom(seed)
    this.states = Array.from({ length: load.endpoints }, (_, index) => this.createState(`m${index}`))
    this.entries = Array.from({ length: load.entries }, () => {
      const entry: Entry = { costs: new PathCosts(this.clock), lengths: new AnswerLengths(), waiting: [] }
      if (reservesAnswers) entry.costs.startReserving(() => entry.lengths.getMean())
      return entry
    })
  }

  /** Runs until the load ends; streams that run then count neither as served nor as refused. */
  run (): MemoryResult {
    for (let nowMs = 0; nowMs < this.load.seconds * 1000; nowMs += tickMs) {
      if (nowMs % reportMs === 0) this.report()
      for (let due = this.load.getRate(nowMs / 1000) * tickMs / 1000; due > this.random.next(); due--) this.receive(nowMs)
      for (const entry of this.entries) entry.waiting = entry.waiting.filter((caller) => !this.start(entry, caller) && !this.refuse(caller, nowMs))
      for (const state of this.states) this.advance(state)
      this.clock.advance(tickMs)
    }
    return this.result
  }

  private createState (id: string): EndpointState {
    const layers = { from: 0, to: this.engine.layers }
    const type = this.engine.types[0]?.name as string
    return { endpoint: { id, bornMs: 1, address: id, dataCentre: 'a', service: 's', isLeaving: false, slots: this.engine.slots, type, layers }, streams: [], queue: [] }
  }

  private receive (nowMs: number): void {
    const mean = this.load.getAnswerTokens(nowMs / 1000)
    // Exponential lengths around a stated median, at most four times the mean.
    const actualTokens = Math.max(1, Math.round(Math.min(4 * mean, -mean * Math.log(1 - this.random.next()))))
    const size = { promptTokens: Math.round(this.engine.usualPromptTokens * (0.5 + this.random.next())), answerTokens: Math.round(mean / 2) }
    this.result.arrived++
    this.random.pickItem(this.entries).waiting.push({ size, actualTokens, untilMs: nowMs + maxWaitMs })
  }

  private refuse (caller: Caller, nowMs: number): boolean {
    if (caller.untilMs > nowMs) return false
    this.result.refused++
    return true
  }

  private start (entry: Entry, caller: Caller): boolean {
    const { engine } = this
    const size = { ...caller.size, answerTokens: entry.lengths.estimate(route, caller.size.answerTokens) }
    const type = engine.types[0] as EngineConfig['types'][number]
    const candidates = this.states.flatMap(({ endpoint }) => entry.costs.createCandidate(endpoint, type, engine, size, 'a') ?? [])
    const [first] = candidates.sort((a, b) => a.layerMs - b.layerMs)
    if (first === undefined) return false
    const parts = [{ endpoint: first.endpoint, from: 0, to: engine.layers }]
    entry.costs.recordStart(parts, size)
    const stream = { ...caller, size, entry, parts, readTokens: 0, tokens: 0, sentTokens: 0, progressMs: this.clock.now() }
    this.states.find(({ endpoint }) => endpoint === first.endpoint)?.queue.push(stream)
    return true
  }

  private report (): void {
    for (const state of this.states) {
      const { endpoint, streams, queue } = state
      const report = {
        bornMs: 1,
        layers: endpoint.layers as LayerSpan,
        active: streams.length,
        queued: queue.length,
        usedTokenLayers: this.countUsed(state) * this.engine.layers,
        totalTokenLayers: this.getCapacity() * this.engine.layers,
        pace: 1
      }
      for (const { costs } of this.entries) costs.recordReport(endpoint.id, report, this.entries.length)
    }
  }

  private advance (state: EndpointState): void {
    const { streams, queue } = state
    this.dropLeft(streams)
    this.dropLeft(queue)
    while (queue[0] !== undefined && streams.length < this.engine.slots && this.countUsed(state) + queue[0].size.promptTokens <= this.getCapacity()) {
      streams.push(queue.shift() as Stream)
    }
    for (const stream of [...streams]) {
      if (stream.readTokens < stream.size.promptTokens) stream.readTokens += promptTokensPerTick
      else this.advanceAnswer(stream)
      if (stream.tokens >= stream.actualTokens) this.complete(state, stream)
    }
    while (this.countUsed(state) > this.getCapacity() && streams.length > 1) this.restartNewest(state)
  }

  private advanceAnswer (stream: Stream): void {
    stream.tokens += answerTokensPerTick
    if (stream.tokens > stream.sentTokens) stream.progressMs = this.clock.now()
    stream.sentTokens = Math.max(stream.sentTokens, stream.tokens)
  }

  /** Removes the streams whose callers have had no new event for too long. */
  private dropLeft (streams: Stream[]): void {
    for (const stream of streams.filter(({ progressMs }) => this.clock.now() - progressMs > leaveMs)) {
      streams.splice(streams.indexOf(stream), 1)
      stream.entry.costs.recordEnd(stream.parts, stream.size)
      this.result.left++
    }
  }

  /** Preempts the newest stream. */
  private restartNewest ({ streams, queue }: EndpointState): void {
    const stream = streams.pop() as Stream
    this.result.preempted++
    this.result.lostTokens += stream.size.promptTokens + stream.tokens
    Object.assign(stream, { readTokens: 0, tokens: 0 })
    queue.unshift(stream)
  }

  private complete ({ streams }: EndpointState, stream: Stream): void {
    streams.splice(streams.indexOf(stream), 1)
    stream.entry.costs.recordEnd(stream.parts, stream.size)
    // The stated length is kept apart from the expected one, which the entry places by.
    stream.entry.lengths.record(route, this.load.getAnswerTokens(this.clock.now() / 1000) / 2, stream.actualTokens)
    this.result.served++
  }

  /** @returns tokens in memory */
  private countUsed ({ streams }: EndpointState): number {
    return streams.reduce((sum, { size, tokens }) => sum + size.promptTokens + tokens, 0)
  }

  /** @returns tokens that fit in memory */
  private getCapacity (): number {
    return computeTokenLayerCapacity({ from: 0, to: this.engine.layers }, this.engine.types[0] as EngineConfig['types'][number], this.engine) / this.engine.layers
  }
}
