/**
 * Plays a load of streams on a replayed fleet: arrivals drawn from a seed, several entries that hear reports some hundred
 * milliseconds old, callers that leave, come back once, or lose their endpoints.
 */
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import type { RandomSource } from '@clementineloft/kernel'
import { WaitingLine } from '@clementineloft/routing'
import type { CallEndpoint, EngineTerms, PathPart, RequestSize, WaitingCall } from '@clementineloft/routing'
import { entryCount } from './mixed-fleet.js'
import { ReplayedFleet } from './replayed-fleet.js'
import type { ReplayedStream } from './replayed-fleet.js'
import type { CreatePlacing, PlacingPolicy } from './placing-policy.js'
import type { TurningAway, TurningState } from './turning-away.js'

const tickMs = 10
const reportMs = 330
/** Time between two looks at the waiting lines. */
const lineMs = 100
/** Time within which the first event counts in full. */
const objectiveMs = 500
/** Time without a first event after which a caller leaves. */
const patienceMs = 2500
const deadlineMs = 20_000
/** Searches without a place after which an entry looks at its line no further. */
const maxMisses = 4
const millisecondsPerSecond = 1000

/** A load to play. */
export interface ReplayedLoad {
  seconds: number
  /** Streams a second that arrive at a time, in seconds from the start. */
  getRate: (second: number) => number
  /** Entries that send to the fleet; as many as the mixed fleet has if absent. */
  entries?: number
  /** Teams; each arrival is of one of them, as likely as another. */
  teams: readonly string[]
  /** When endpoints are lost, in seconds; never if absent. */
  lossSecond?: number
  lost?: ReadonlySet<string>
}

/** How entries decide. */
export interface ReplayedWay {
  createPlacing: CreatePlacing
  turning: TurningAway
}

/** What came of a load. */
export interface ReplayResult {
  arrived: number
  served: number
  /** Served with the first event in time. */
  inTime: number
  /** Streams that were sent to endpoints. */
  sent: number
  /** Streams for which an endpoint of their path had no room when they came. */
  crowded: number
  /** Answers that refused a caller. */
  refusals: number
  /** Callers that left without an event. */
  left: number
  /** Times until the first event from the caller's first arrival, in milliseconds. */
  firstEventMs: number[]
  arrivedByTeam: Map<string, number>
  servedByTeam: Map<string, number>
}

interface Caller extends WaitingCall {
  arrivedMs: number
  size: RequestSize
  hasReturned: boolean
  /** When the present attempt began. */
  startedMs: number
  firstEventMs: number | undefined
}

interface Entry {
  placing: PlacingPolicy
  line: WaitingLine<Caller>
}

interface Running {
  caller: Caller
  entry: Entry
}

const addOne = (counts: Map<string, number>, key: string): void => { counts.set(key, (counts.get(key) ?? 0) + 1) }

/** One load played in one way. */
export class ReplayRun {
  private readonly clock = new ManualClock()
  private readonly random: RandomSource
  private readonly fleet: ReplayedFleet
  private readonly entries: Entry[]
  private readonly running = new Map<ReplayedStream, Running>()
  private readonly returning: Array<{ dueMs: number, caller: Caller }> = []
  /** Endpoints as entries know them: those that are lost are missed with the next report. */
  private known: CallEndpoint[]
  private readonly result: ReplayResult = {
    arrived: 0, served: 0, inTime: 0, sent: 0, crowded: 0, refusals: 0, left: 0, firstEventMs: [], arrivedByTeam: new Map(), servedByTeam: new Map()
  }

  constructor (
    endpoints: readonly CallEndpoint[],
    private readonly engine: EngineTerms,
    private readonly load: ReplayedLoad,
    private readonly way: ReplayedWay,
    seed: number
  ) {
    this.random = new SeededRandom(seed)
    this.fleet = new ReplayedFleet(endpoints, engine)
    this.known = this.fleet.listEndpoints()
    const dataCentres = [...new Set(this.known.map((endpoint) => endpoint.dataCentre))]
    this.entries = Array.from({ length: load.entries ?? entryCount }, (_, index) => ({
      placing: way.createPlacing(dataCentres[index % dataCentres.length] as string, this.clock, this.random),
      line: new WaitingLine<Caller>(this.clock)
    }))
  }

  /** @returns what came of the load, when every caller has been told */
  run (): ReplayResult {
    const endMs = this.load.seconds * millisecondsPerSecond
    for (let nowMs = 0; nowMs < endMs + deadlineMs; nowMs += tickMs) {
      if (nowMs < endMs) this.receive(nowMs)
      this.receiveReturning(nowMs)
      if (nowMs === (this.load.lossSecond ?? -1) * millisecondsPerSecond) this.loseEndpoints()
      if (nowMs % reportMs < tickMs) this.report()
      if (nowMs % lineMs === 0) {
        for (const entry of this.entries) this.startWaiting(entry)
      }
      this.advance()
    }
    return this.result
  }

  private receive (nowMs: number): void {
    const expected = this.load.getRate(nowMs / millisecondsPerSecond) * tickMs / millisecondsPerSecond
    for (let due = expected; due > this.random.next(); due--) {
      const size = { promptTokens: this.pickAround(this.engine.usualPromptTokens), answerTokens: this.pickAround(this.engine.usualAnswerTokens) }
      const team = this.random.pickItem(this.load.teams)
      this.result.arrived++
      addOne(this.result.arrivedByTeam, team)
      this.acceptCaller({
        rank: 0, team, cost: size.promptTokens + size.answerTokens, untilMs: 0, arrivedMs: nowMs, size, hasReturned: false, startedMs: 0, firstEventMs: undefined
      })
    }
  }

  /** @returns a whole number between half and one and a half of a mean */
  private pickAround (mean: number): number {
    return Math.round(mean * (0.5 + this.random.next()))
  }

  private receiveReturning (nowMs: number): void {
    for (const item of this.returning.filter(({ dueMs }) => dueMs <= nowMs)) {
      this.returning.splice(this.returning.indexOf(item), 1)
      this.acceptCaller(item.caller)
    }
  }

  /** Callers reach any entry. */
  private acceptCaller (caller: Caller): void {
    const entry = this.random.pickItem(this.entries)
    if (this.startAt(entry, caller)) return
    const waitMs = this.way.turning.computeWait(this.describe(entry, caller, 0))
    if (waitMs <= 0) {
      this.refuse(entry, caller, 0)
      return
    }
    caller.startedMs = this.clock.now()
    caller.untilMs = this.clock.now() + waitMs
    entry.line.add(caller)
  }

  private describe (entry: Entry, caller: Caller, waitedMs: number): TurningState {
    const nowMs = this.clock.now()
    const expectedMs = entry.line.estimateWait(caller.rank)
    return { waitedMs, expectedMs, remainingMs: caller.arrivedMs + deadlineMs - nowMs }
  }

  private startAt (entry: Entry, caller: Caller): boolean {
    const parts = entry.placing.findParts(this.known, caller.size)
    if (parts === undefined) return false
    const stream = this.fleet.start(parts, caller.size)
    if (stream === undefined) return false
    this.result.sent++
    if (!stream.hasRoom) this.result.crowded++
    caller.startedMs = this.clock.now()
    entry.placing.recordStart(parts, caller.size)
    entry.line.recordStart(caller.team, caller.cost)
    this.running.set(stream, { caller, entry })
    return true
  }

  private refuse (entry: Entry, caller: Caller, waitedMs: number): void {
    this.result.refusals++
    const state = this.describe(entry, caller, waitedMs)
    if (caller.hasReturned || state.remainingMs <= 0) return
    caller.hasReturned = true
    this.returning.push({ dueMs: this.clock.now() + this.way.turning.computeReturn(state, this.random), caller })
  }

  private startWaiting (entry: Entry): void {
    for (const caller of entry.line.takeExpired()) this.refuse(entry, caller, this.clock.now() - caller.startedMs)
    let misses = 0
    for (const caller of entry.line.list()) {
      if (misses >= maxMisses) return
      if (this.startAt(entry, caller)) entry.line.remove(caller)
      else misses++
    }
  }

  private report (): void {
    this.known = this.fleet.listEndpoints()
    for (const { id } of this.known) {
      const report = this.fleet.report(id)
      if (report === undefined) continue
      for (const { placing } of this.entries) placing.recordReport(id, report)
    }
  }

  /** Streams that are cut go on elsewhere with the tokens that are missing. */
  private loseEndpoints (): void {
    for (const stream of this.fleet.lose(this.load.lost ?? new Set())) {
      const { caller } = this.release(stream)
      caller.size = {
        promptTokens: caller.size.promptTokens + Math.floor(stream.tokens),
        answerTokens: Math.max(1, caller.size.answerTokens - Math.floor(stream.tokens))
      }
      this.acceptCaller(caller)
    }
  }

  private release (stream: ReplayedStream): Running {
    const running = this.running.get(stream) as Running
    this.running.delete(stream)
    running.entry.placing.recordEnd(stream.parts as PathPart[], stream.size)
    return running
  }

  private advance (): void {
    const complete = this.fleet.advance(tickMs)
    this.clock.advance(tickMs)
    const nowMs = this.clock.now()
    for (const [stream, { caller }] of this.running) {
      if (stream.tokens >= 1) caller.firstEventMs ??= nowMs - caller.arrivedMs
      if (caller.firstEventMs !== undefined || nowMs - caller.startedMs < patienceMs) continue
      this.fleet.stop(stream)
      this.release(stream)
      this.result.left++
    }
    for (const stream of complete) this.noteComplete(this.release(stream).caller)
  }

  private noteComplete (caller: Caller): void {
    const firstEventMs = caller.firstEventMs as number
    this.result.served++
    this.result.firstEventMs.push(firstEventMs)
    addOne(this.result.servedByTeam, caller.team)
    if (firstEventMs <= objectiveMs) this.result.inTime++
  }
}
