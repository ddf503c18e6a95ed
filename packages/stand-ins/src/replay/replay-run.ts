/**
 * Replays a load of streams on a simulated fleet. Arrivals are drawn from a seeded random source. Several entries place
 * the streams with load reports that are up to some hundred milliseconds old. Callers give up without a first event,
 * retry once after a refusal, and are placed again when their endpoints are lost.
 */
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import type { RandomSource } from '@clementineloft/kernel'
import { AnswerTime, RetrySlots, StartPass, StartResult, WaitingQueue } from '@clementineloft/routing'
import type { CallEndpoint, EngineConfig, PathPart, RequestSize, WaitingCall } from '@clementineloft/routing'
import { entryCount } from './mixed-fleet.js'
import { ReplayedFleet } from './replayed-fleet.js'
import type { ReplayedStream } from './replayed-fleet.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { OverloadState } from './overload-policy.js'
import type { RankResult, ReplayLoad, ReplayPolicies, ReplayResult } from './replay-load.js'

const tickMs = 10
const reportIntervalMs = 330
/** Interval at which entries try to place the callers in their queues. */
const queueCheckIntervalMs = 100
/** Latency objective for the first event. */
const firstEventObjectiveMs = 500
/** Time without a first event after which a caller gives up. */
const firstEventTimeoutMs = 2500
const deadlineMs = 20_000
const millisecondsPerSecond = 1000

interface Caller extends WaitingCall {
  need: number
  isResumed: boolean
  untilMs: number
  arrivedMs: number
  size: RequestSize
  hasRetried: boolean
  /** Start of the current attempt, or of the wait in the queue, in milliseconds. */
  startedMs: number
  /** Arrival, or latest return, in milliseconds. */
  returnedMs: number
  firstEventMs: number | undefined
}

interface Entry {
  dataCentre: string
  placement: PlacementPolicy
  queue: WaitingQueue<Caller>
  slots: RetrySlots
  answerTime: AnswerTime
}

interface RunningStream {
  caller: Caller
  entry: Entry
}

const addOne = (counts: Map<string, number>, key: string): void => { counts.set(key, (counts.get(key) ?? 0) + 1) }

/** One replay of a load under one combination of policies. */
export class ReplayRun {
  private readonly clock = new ManualClock()
  private readonly random: RandomSource
  private readonly fleet: ReplayedFleet
  private readonly entries: Entry[]
  private readonly running = new Map<ReplayedStream, RunningStream>()
  private readonly pendingRetries: Array<{ retryAtMs: number, caller: Caller }> = []
  /** Endpoints as the entries know them: a lost endpoint stays in the list until the next round of reports. */
  private knownEndpoints: CallEndpoint[]
  private readonly result: ReplayResult = {
    arrived: 0, served: 0, inTime: 0, sent: 0, queuedOnArrival: 0, refusals: 0, timedOut: 0, firstEventMs: [], arrivedByTeam: new Map(), servedByTeam: new Map(), byRank: new Map()
  }

  constructor (
    endpoints: readonly CallEndpoint[],
    private readonly engine: EngineConfig,
    private readonly load: ReplayLoad,
    private readonly policies: ReplayPolicies,
    seed: number
  ) {
    this.random = new SeededRandom(seed)
    this.fleet = new ReplayedFleet(endpoints, engine)
    this.knownEndpoints = this.fleet.listEndpoints()
    const dataCentres = [...new Set(this.knownEndpoints.map((endpoint) => endpoint.dataCentre))]
    this.entries = Array.from({ length: load.entries ?? entryCount }, (_, index) => {
      const dataCentre = dataCentres[index % dataCentres.length] as string
      return {
        dataCentre,
        placement: policies.createPlacement(dataCentre, this.clock, this.random),
        queue: new WaitingQueue<Caller>(this.clock),
        slots: new RetrySlots(this.clock, this.random),
        answerTime: new AnswerTime()
      }
    })
  }

  /** Runs until the deadline of the last arrival has passed. */
  run (): ReplayResult {
    const endMs = this.load.seconds * millisecondsPerSecond
    for (let nowMs = 0; nowMs < endMs + deadlineMs; nowMs += tickMs) {
      if (nowMs < endMs) this.receiveArrivals(nowMs)
      this.receiveRetries(nowMs)
      if (nowMs === (this.load.lossSecond ?? -1) * millisecondsPerSecond) this.loseEndpoints()
      if (nowMs % reportIntervalMs < tickMs) this.report()
      if (nowMs % queueCheckIntervalMs === 0) {
        for (const entry of this.entries) this.startQueued(entry)
      }
      this.advance()
    }
    return this.result
  }

  private receiveArrivals (nowMs: number): void {
    for (const rank of this.load.ranks ?? [0]) this.receiveRank(nowMs, rank)
  }

  private receiveRank (nowMs: number, rank: number): void {
    const expected = this.load.getRate(nowMs / millisecondsPerSecond, rank) * tickMs / millisecondsPerSecond
    for (let remaining = expected; remaining > this.random.next(); remaining--) {
      const mean = this.load.getMeanSize?.(nowMs / millisecondsPerSecond) ?? { promptTokens: this.engine.usualPromptTokens, answerTokens: this.engine.usualAnswerTokens }
      const size = { promptTokens: this.pickTokenCount(mean.promptTokens), answerTokens: this.pickTokenCount(mean.answerTokens) }
      const team = this.random.pickItem(this.load.teams)
      this.result.arrived++
      addOne(this.result.arrivedByTeam, team)
      this.getRankResult(rank).arrived++
      this.acceptCaller({
        rank, team, cost: size.promptTokens + size.answerTokens, need: size.promptTokens, isResumed: false, untilMs: 0, arrivedMs: nowMs, size, hasRetried: false, startedMs: 0, returnedMs: nowMs, firstEventMs: undefined
      })
    }
  }

  private getRankResult (rank: number): RankResult {
    const known = this.result.byRank.get(rank)
    if (known !== undefined) return known
    const result = { arrived: 0, served: 0, refused: 0, refusedAgain: 0, left: 0, firstEventMs: [] }
    this.result.byRank.set(rank, result)
    return result
  }

  /** @returns a random integer, uniform between 0.5 and 1.5 times the mean */
  private pickTokenCount (mean: number): number {
    return Math.round(mean * (0.5 + this.random.next()))
  }

  private receiveRetries (nowMs: number): void {
    for (const retry of this.pendingRetries.filter(({ retryAtMs }) => retryAtMs <= nowMs)) {
      this.pendingRetries.splice(this.pendingRetries.indexOf(retry), 1)
      retry.caller.returnedMs = nowMs
      this.acceptCaller(retry.caller)
    }
  }

  /** @returns an entry picked at random, weighted by the demand of its data centre */
  private pickEntry (): Entry {
    const { getDemand } = this.load
    if (getDemand === undefined) return this.random.pickItem(this.entries)
    const weights = this.entries.map(({ dataCentre }) => getDemand(dataCentre, this.clock.now() / millisecondsPerSecond))
    let remaining = this.random.next() * weights.reduce((sum, weight) => sum + weight, 0)
    const index = weights.findIndex((weight) => (remaining -= weight) < 0)
    return this.entries[Math.max(0, index)] as Entry
  }

  /** Assigns the caller to a random entry, which starts its stream, queues it or refuses it. */
  private acceptCaller (caller: Caller): void {
    const entry = this.pickEntry()
    if (this.startOrdered(entry, caller)) return
    const waitMs = this.policies.overload.computeWait(this.describeOverload(entry, caller, 0))
    if (waitMs <= 0) {
      this.refuse(entry, caller, 0)
      return
    }
    caller.startedMs = this.clock.now()
    caller.untilMs = this.clock.now() + waitMs
    entry.queue.add(caller)
  }

  private startOrMiss (entry: Entry, caller: Caller): StartResult {
    return this.startStream(entry, caller) ? StartResult.started : StartResult.noCapacity
  }

  private describeOverload (entry: Entry, caller: Caller, waitedMs: number): OverloadState {
    const nowMs = this.clock.now()
    const { rank } = caller
    return {
      waitedMs,
      rank,
      expectedMs: entry.queue.estimateWait(caller),
      remainingMs: caller.arrivedMs + deadlineMs - nowMs,
      objectiveMs: firstEventObjectiveMs,
      answerMs: entry.answerTime.get(),
      intervalMs: entry.queue.getInterval(rank),
      slots: entry.slots
    }
  }

  /** Starts a new caller unless callers that go before it wait for the same capacity. */
  private startOrdered (entry: Entry, caller: Caller): boolean {
    const { queue } = entry
    if (this.policies.overload.isOrdered && queue.getLength() > 0) {
      const pass = new StartPass<Caller>()
      pass.run(queue.list(queue.listBefore(caller)), (waiting) => this.startOrMiss(entry, waiting))
      if (!pass.canOvertake(caller.need, queue.listBefore(caller))) return false
    }
    return this.startStream(entry, caller)
  }

  private startStream (entry: Entry, caller: Caller): boolean {
    const parts = entry.placement.findParts(this.knownEndpoints, caller.size)
    if (parts === undefined) return false
    const stream = this.fleet.start(parts, caller.size)
    if (stream === undefined) return false
    this.result.sent++
    if (!stream.isAdmitted) this.result.queuedOnArrival++
    caller.startedMs = this.clock.now()
    entry.placement.recordStart(parts, caller.size)
    entry.queue.recordStart(caller)
    this.running.set(stream, { caller, entry })
    return true
  }

  private refuse (entry: Entry, caller: Caller, waitedMs: number): void {
    this.result.refusals++
    const rankResult = this.getRankResult(caller.rank)
    if (caller.hasRetried) rankResult.refusedAgain++
    else rankResult.refused++
    const state = this.describeOverload(entry, caller, waitedMs)
    if (caller.hasRetried || state.remainingMs <= 0) return
    caller.hasRetried = true
    this.pendingRetries.push({ retryAtMs: this.clock.now() + this.policies.overload.computeRetryDelay(state, this.random), caller })
  }

  private startQueued (entry: Entry): void {
    for (const caller of entry.queue.takeExpired()) this.refuse(entry, caller, this.clock.now() - caller.startedMs)
    new StartPass<Caller>().run(entry.queue.list(), (caller) => this.startOrMiss(entry, caller))
  }

  private report (): void {
    this.knownEndpoints = this.fleet.listEndpoints()
    for (const { id } of this.knownEndpoints) {
      const report = this.fleet.report(id)
      if (report === undefined) continue
      for (const { placement } of this.entries) placement.recordReport(id, report)
    }
  }

  /** Resumes interrupted streams at other endpoints: the tokens generated so far become part of the prompt. */
  private loseEndpoints (): void {
    for (const stream of this.fleet.removeEndpoints(this.load.lost ?? new Set())) {
      const { caller } = this.release(stream)
      caller.size = {
        promptTokens: caller.size.promptTokens + Math.floor(stream.tokens),
        answerTokens: Math.max(1, caller.size.answerTokens - Math.floor(stream.tokens))
      }
      this.acceptCaller(caller)
    }
  }

  private release (stream: ReplayedStream): RunningStream {
    const running = this.running.get(stream) as RunningStream
    this.running.delete(stream)
    running.entry.placement.recordEnd(stream.parts as PathPart[], stream.size)
    return running
  }

  private advance (): void {
    const completed = this.fleet.advance(tickMs)
    this.clock.advance(tickMs)
    const nowMs = this.clock.now()
    for (const [stream, { caller, entry }] of this.running) {
      if (stream.tokens >= 1 && caller.firstEventMs === undefined) {
        caller.firstEventMs = nowMs - caller.arrivedMs
        entry.answerTime.record(nowMs - caller.startedMs)
      }
      if (caller.firstEventMs !== undefined || nowMs < this.getLeavingMs(caller)) continue
      this.getRankResult(caller.rank).left++
      this.fleet.stop(stream)
      this.release(stream)
      this.result.timedOut++
    }
    for (const stream of completed) this.recordCompletion(this.release(stream).caller)
  }

  private getLeavingMs ({ startedMs, returnedMs }: Caller): number {
    const { stayMs } = this.load
    return stayMs === undefined ? startedMs + firstEventTimeoutMs : returnedMs + stayMs
  }

  private recordCompletion (caller: Caller): void {
    const firstEventMs = caller.firstEventMs as number
    this.result.served++
    this.result.firstEventMs.push(firstEventMs)
    const rankResult = this.getRankResult(caller.rank)
    rankResult.served++
    rankResult.firstEventMs.push(firstEventMs)
    addOne(this.result.servedByTeam, caller.team)
    if (firstEventMs <= firstEventObjectiveMs) this.result.inTime++
  }
}
