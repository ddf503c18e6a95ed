/**
 * One entry of a replay of several ranks: places calls that arrive, queues the others by rank, and refuses those that have
 * waited too long.
 */
import type { Clock, RandomSource } from '@clementineloft/kernel'
import { addRankLoads, AdmissionLevel, WaitingAnnouncements } from '@clementineloft/routing'
import type { Announcement, RankLoad, ServiceCapacity } from '@clementineloft/routing'

const maxWaitMs = 1500
const passIntervalMs = 50
const observeIntervalMs = 100

/** A call of a replay. */
export interface ReplayedCall {
  rank: number
  tokens: number
  durationMs: number
  isRunning: boolean
}

/** What the entries of a replay share. */
export interface ReplayedPool {
  /** @returns whether there was room for the call, which runs then */
  start: (call: ReplayedCall) => boolean
  changeWaiting: (rank: number, change: number) => void
}

const listLoads = (calls: readonly ReplayedCall[]): RankLoad[] => addRankLoads(calls.map(({ rank, tokens }) => ({ rank, count: 1, tokens })), Infinity)

/** One entry. */
export class ReplayedEntry {
  private readonly level: AdmissionLevel
  private capacity: ServiceCapacity = { freeTokens: 0, totalTokens: 0, freeSlots: 0 }
  private waiting: Array<{ call: ReplayedCall, sinceMs: number }> = []
  private running: ReplayedCall[] = []
  private nextPassMs: number
  private nextObservationMs: number
  private withheldRank: number | undefined
  /** Number of times at which another rank was withheld than before. */
  levelChanges = 0
  private readonly announcements: WaitingAnnouncements
  private announce: (announcement: Announcement, nowMs: number) => void = () => {}

  constructor (
    private readonly clock: Clock,
    random: RandomSource,
    private readonly pool: ReplayedPool,
    private readonly hasLevel: boolean
  ) {
    this.announcements = new WaitingAnnouncements(clock)
    this.level = new AdmissionLevel(clock, random)
    this.nextPassMs = clock.now() + random.next() * passIntervalMs
    this.nextObservationMs = clock.now() + random.next() * observeIntervalMs
  }

  /** @param announce - tells sidecars at once what waits here */
  subscribe (announce: (announcement: Announcement, nowMs: number) => void): void {
    this.announce = announce
  }

  /** @returns the calls that wait, by rank */
  listWaiting (): RankLoad[] {
    return listLoads(this.waiting.map(({ call }) => call))
  }

  /** Applies a report of a sidecar. */
  applyReport (sums: readonly RankLoad[] | undefined, capacity: ServiceCapacity, entries: number): void {
    this.capacity = capacity
    if (sums !== undefined) this.level.applySums(sums, entries)
  }

  /** Places or queues a call that arrives. */
  accept (call: ReplayedCall): void {
    if (this.startCall(call)) return
    this.waiting.push({ call, sinceMs: this.clock.now() })
    this.waiting.sort((a, b) => a.call.rank - b.call.rank || a.sinceMs - b.sinceMs)
    this.pool.changeWaiting(call.rank, 1)
    if (this.waiting[0]?.call === call) this.observe()
  }

  /** Does what is due at this time. */
  advance (): void {
    const nowMs = this.clock.now()
    if (nowMs >= this.nextObservationMs) {
      this.nextObservationMs += observeIntervalMs
      this.observe()
    }
    if (nowMs < this.nextPassMs) return
    this.nextPassMs += passIntervalMs
    const left: typeof this.waiting = []
    for (const each of this.waiting) {
      const isExpired = nowMs - each.sinceMs >= maxWaitMs
      if (isExpired || this.startCall(each.call)) this.pool.changeWaiting(each.call.rank, -1)
      else left.push(each)
    }
    this.waiting = left
  }

  private startCall (call: ReplayedCall): boolean {
    if (this.hasLevel && !this.level.canStart(call.rank, call.tokens)) return false
    if (!this.pool.start(call)) return false
    this.level.recordStart(call.rank, call.tokens)
    call.isRunning = true
    this.running.push(call)
    return true
  }

  private observe (): void {
    this.running = this.running.filter((call) => call.isRunning)
    const waiting = this.listWaiting()
    this.level.observe({ ...this.capacity, running: listLoads(this.running), waiting })
    const withheldRank = this.level.findWithheldRank()
    if (withheldRank !== this.withheldRank) this.levelChanges++
    this.withheldRank = withheldRank
    const announcement = this.announcements.next(waiting)
    if (announcement !== undefined) this.announce(announcement, this.clock.now())
  }
}
