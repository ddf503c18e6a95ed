/**
 * Replays bursts of several ranks on many entries without a network: each entry has its own queue, hears of the others only
 * through reports of sidecars that are up to half a second old, and shares one pool of request memory with them.
 */
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import { Announcement, WaitingTotals } from '@clementineloft/routing'
import type { RankLoad } from '@clementineloft/routing'
import { ReplayedEntry } from './replayed-entry.js'
import type { ReplayedCall } from './replayed-entry.js'

const tickMs = 10
const reportIntervalMs = 300
const requestIntervalMs = 1000
/** Greatest time that a message takes; a report is at most this and one interval old when the next one arrives. */
const maxDelayMs = 200
const sidecarCount = 6
const urgentRelays = 4
const endMs = 16_000
/** Calls that fill the pool, for each entry, each of {@link meanTokens} for a mean of one second. */
const callsPerEntry = 8
const meanTokens = 700
const baseShares = [0.3, 0.4, 0.3]
const millisecondsPerSecond = 1000

/** Burst of one rank. */
interface Burst {
  rank: number
  factor: number
  fromMs: number
  toMs: number
}

const bursts: Burst[] = [{ rank: 2, factor: 2.5, fromMs: 3000, toMs: 8000 }, { rank: 0, factor: 1.9, fromMs: 8000, toMs: 12_000 }]

/** What is replayed. */
export interface RankReplayOptions {
  entries: number
  /** Usual load relative to the capacity. */
  load: number
  hasLevel: boolean
  seed: number
  /** Fraction of datagrams that are lost; 0 if absent. */
  lossRatio?: number
}

/** What came of the calls, by rank. */
export interface RankReplayResult {
  arrived: number[]
  served: number[]
  /** Starts while a more urgent call waited at another entry or the same one. */
  inversions: number
  /** Mean fraction of the pool in use during the bursts. */
  usedRatio: number
  /** Changes of the withheld rank, for each entry and second. */
  levelChangeRate: number
}

/** One replay. */
export class RankReplay {
  private readonly clock = new ManualClock()
  private readonly random: SeededRandom
  /** Source of the calls, so that they are the same with and without the level. */
  private readonly callRandom: SeededRandom
  private readonly entries: ReplayedEntry[]
  private readonly sidecars = Array.from({ length: sidecarCount }, () => new WaitingTotals(this.clock))
  private readonly weights: number[][]
  private readonly due = new Map<number, Array<() => void>>()
  private readonly capacity: number
  private used = 0
  private usedSum = 0
  private readonly waitingByRank = [0, 0, 0]
  private readonly result: RankReplayResult = { arrived: [0, 0, 0], served: [0, 0, 0], inversions: 0, usedRatio: 0, levelChangeRate: 0 }

  constructor (private readonly options: RankReplayOptions) {
    this.random = new SeededRandom(options.seed)
    this.callRandom = new SeededRandom(options.seed + 1)
    this.capacity = options.entries * callsPerEntry * meanTokens
    const pool = {
      start: (call: ReplayedCall) => this.start(call),
      changeWaiting: (rank: number, change: number) => { this.waitingByRank[rank] = (this.waitingByRank[rank] as number) + change }
    }
    this.entries = Array.from({ length: options.entries }, () => new ReplayedEntry(this.clock, this.random, pool, options.hasLevel))
    // Some entries get few calls of a rank and others many.
    this.weights = this.entries.map(() => baseShares.map(() => 2 * this.callRandom.next()))
  }

  /** Runs the replay to its end. */
  run (): RankReplayResult {
    this.scheduleMessages()
    let burstTicks = 0
    for (let nowMs = 0; nowMs < endMs; nowMs += tickMs) {
      this.clock.advance(tickMs)
      for (const act of this.due.get(nowMs) ?? []) act()
      this.due.delete(nowMs)
      this.addArrivals(nowMs)
      for (const entry of this.entries) entry.advance()
      if (nowMs < 4000 || nowMs >= 12_000) continue
      burstTicks++
      this.usedSum += this.used / this.capacity
    }
    const levelChanges = this.entries.reduce((sum, entry) => sum + entry.levelChanges, 0)
    return { ...this.result, usedRatio: this.usedSum / burstTicks, levelChangeRate: levelChanges / this.entries.length / (endMs / millisecondsPerSecond) }
  }

  private schedule (delayMs: number, nowMs: number, act: () => void): void {
    const atMs = nowMs + Math.max(tickMs, Math.ceil(delayMs / tickMs) * tickMs)
    this.due.set(atMs, [...this.due.get(atMs) ?? [], act])
  }

  private send (nowMs: number, act: () => void): void {
    if (this.random.next() >= (this.options.lossRatio ?? 0)) this.schedule(this.random.next() * maxDelayMs, nowMs, act)
  }

  private repeat (firstMs: number, intervalMs: number, act: (nowMs: number) => void): void {
    for (let atMs = Math.floor(firstMs / tickMs) * tickMs; atMs < endMs; atMs += intervalMs) this.schedule(0, atMs, () => { act(atMs + tickMs) })
  }

  private scheduleMessages (): void {
    for (const [index, entry] of this.entries.entries()) {
      this.repeat(this.random.next() * requestIntervalMs, requestIntervalMs, (nowMs) => { this.sendWaiting(index, entry.listWaiting(), sidecarCount, nowMs) })
      entry.subscribe((announcement, nowMs) => { this.sendWaiting(index, entry.listWaiting(), announcement === Announcement.some ? urgentRelays : sidecarCount, nowMs) })
    }
    for (const sidecar of this.sidecars) this.repeat(this.random.next() * reportIntervalMs, reportIntervalMs, (nowMs) => { this.sendReport(sidecar, nowMs) })
  }

  private sendWaiting (index: number, loads: RankLoad[], count: number, nowMs: number): void {
    const first = this.random.pickInteger(sidecarCount)
    for (let offset = 0; offset < count; offset++) {
      this.send(nowMs, () => { this.sidecars[(first + offset) % sidecarCount]?.record(String(index), loads) })
    }
  }

  private sendReport (sidecar: WaitingTotals, nowMs: number): void {
    const sums = sidecar.findSums()
    const freeTokens = this.capacity - this.used
    for (const entry of this.entries) {
      this.send(nowMs, () => { entry.applyReport(sums, { freeTokens, totalTokens: this.capacity, freeSlots: 1e6 }, this.entries.length) })
    }
  }

  private start (call: ReplayedCall): boolean {
    if (this.used + call.tokens > this.capacity) return false
    this.used += call.tokens
    this.result.served[call.rank] = (this.result.served[call.rank] as number) + 1
    if (this.waitingByRank.slice(0, call.rank).some((count) => count > 0)) this.result.inversions++
    this.schedule(call.durationMs, Math.floor(this.clock.now()), () => {
      this.used -= call.tokens
      call.isRunning = false
    })
    return true
  }

  private addArrivals (nowMs: number): void {
    for (const [index, entry] of this.entries.entries()) {
      for (const [rank, share] of baseShares.entries()) {
        const burst = bursts.find((each) => each.rank === rank && nowMs >= each.fromMs && nowMs < each.toMs)?.factor ?? 1
        const perTick = callsPerEntry * this.options.load * share * burst * (this.weights[index]?.[rank] as number) * tickMs / millisecondsPerSecond
        if (this.callRandom.next() >= perTick) continue
        this.result.arrived[rank] = (this.result.arrived[rank] as number) + 1
        entry.accept({ rank, tokens: meanTokens * (0.5 + this.callRandom.next()), durationMs: 500 + 1000 * this.callRandom.next(), isRunning: false })
      }
    }
  }
}
