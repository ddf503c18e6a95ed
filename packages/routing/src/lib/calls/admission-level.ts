/**
 * Decides whether a call of a given rank may start while more urgent calls wait, here or in other entries.
 *
 * Addresses bursts of several ranks that compete for too little capacity: an entry that holds only less urgent calls would
 * place them while another entry holds urgent ones. Priorities passed back with answers are from DAGOR (Zhou et al., 2018),
 * shares granted ahead of requests from Breakwater (Cho et al., 2020); here the sums of waiting calls come with the reports,
 * and each entry derives its own part.
 *
 * - Capacity that is free is left to more urgent waiting calls, up to their tokens. What they do not need is divided among the
 *   entries by what they have waiting, at least equally.
 * - An eighth of the capacity is never withheld.
 * - Capacity that has stayed free for a second although urgent calls waited is of no use to them, and is not withheld.
 * - Nothing is withheld within a rank, from the most urgent rank, or without a recent observation of the capacity.
 */
import type { Clock, RandomSource } from '@clementineloft/kernel'
import { boundRank, mergeGreatest, addRankLoads } from './rank-load.js'
import type { RankLoad } from './rank-load.js'
import { RankShare } from './rank-share.js'
import { RecentSums } from './recent-sums.js'
import type { ServiceCapacity } from './service-capacity.js'

/** Share of the capacity that is never withheld from the ranks that are held back, over all entries. */
const minShare = 1 / 8
/** Time after which capacity that no urgent call has taken is given to others, in milliseconds: three reports of a sidecar. */
export const maxIdleMs = 1000
/** Age at which an observation expires, in milliseconds; so do the reports that it is made from. */
const maxObservationAgeMs = 2500
/** Longest time that one observation stands for, in milliseconds; a process may have been paused between two. */
const maxElapsedMs = 500

/** What one entry sees of a service. */
export interface LevelObservation extends ServiceCapacity {
  /** Calls of this entry that run and that wait, by rank. */
  running: readonly RankLoad[]
  waiting: readonly RankLoad[]
}

/** Level of one service in one entry. */
export class AdmissionLevel {
  private readonly sums: RecentSums
  private readonly shares = new Map<number, RankShare>()
  private entries = 1
  private observation: LevelObservation | undefined
  private observedMs = -Infinity
  /** Greatest of sums and own waiting calls, most urgent first. */
  private waiting: RankLoad[] = []
  /** Free capacity of the last {@link maxIdleMs} during which more urgent calls waited, by time. */
  private freeHistory: Array<{ atMs: number, tokens: number }> = []
  private needSinceMs = Infinity

  constructor (
    private readonly clock: Clock,
    private readonly random: RandomSource
  ) {
    this.sums = new RecentSums(clock)
  }

  /**
   * Applies the sums in the report of a sidecar.
   *
   * @param loads - calls that wait in all entries
   * @param entries - number of entries that receive the report
   */
  applySums (loads: readonly RankLoad[], entries: number): void {
    this.sums.record(loads)
    this.entries = entries >= 1 && entries < Infinity ? entries : 1
  }

  /** @returns whether calls wait in any entry, according to recent reports */
  hasSums (): boolean {
    return this.sums.list().length > 0
  }

  /** Observes the service; to be called several times a second, and when a call begins to wait. */
  observe (observation: LevelObservation): void {
    const nowMs = this.clock.now()
    const elapsedMs = Math.max(0, Math.min(maxElapsedMs, nowMs - this.observedMs))
    const running = addRankLoads(observation.running, Infinity)
    const own = addRankLoads(observation.waiting, Infinity)
    this.observation = { ...observation, running, waiting: own }
    this.observedMs = nowMs
    const known = this.sums.list()
    this.waiting = mergeGreatest(known, own)
    this.recordFree(nowMs)
    this.advanceShares(known, elapsedMs)
  }

  /** @returns whether a call may start now, as far as its rank is concerned */
  canStart (rank: number, tokens: number): boolean {
    const share = this.findShare(rank)
    return share === undefined || share.canUseSurplus() || share.canUseShare(tokens)
  }

  /** Records the start of a call. */
  recordStart (rank: number, tokens: number): void {
    this.findShare(rank)?.recordStart(tokens)
  }

  /** @returns the most urgent rank that gets no part of the free capacity beyond its share; `undefined` if there is none */
  findWithheldRank (): number | undefined {
    if (this.isStale()) return undefined
    return [...this.shares.keys()].sort((a, b) => a - b).find((rank) => this.computeSurplus(rank) <= 0)
  }

  private isStale (): boolean {
    return this.observation === undefined || this.observation.totalTokens <= 0 || this.clock.now() - this.observedMs >= maxObservationAgeMs
  }

  /** @returns the share of a rank while more urgent calls wait, otherwise `undefined` */
  private findShare (rank: number): RankShare | undefined {
    const bounded = boundRank(rank)
    const first = this.waiting[0]
    if (first === undefined || first.rank >= bounded || this.isStale()) return undefined
    return this.shares.get(bounded) ?? this.addShare(bounded)
  }

  /** @returns the share of a rank that was not observed before: it may use its share, and the surplus after a random time */
  private addShare (rank: number): RankShare {
    const [first] = this.waiting
    const debtTokens = first === undefined ? 0 : first.tokens / first.count * this.random.next()
    const share = new RankShare(debtTokens, this.random.next())
    this.shares.set(rank, share)
    share.advance(this.computeBounds(rank, this.sums.list()), 0)
    return share
  }

  private advanceShares (known: readonly RankLoad[], elapsedMs: number): void {
    const first = this.waiting[0]?.rank ?? Infinity
    const ranks = new Set([...this.waiting, ...(this.observation?.running ?? [])].map(({ rank }) => rank).filter((rank) => rank > first))
    for (const [rank, share] of this.shares) {
      // A rank without calls keeps its share until its last call is paid for.
      if (rank <= first || (!ranks.has(rank) && share.isSettled())) this.shares.delete(rank)
      else share.advance(this.computeBounds(rank, known), elapsedMs)
    }
    for (const rank of ranks) if (!this.shares.has(rank)) this.addShare(rank)
  }

  private computeBounds (rank: number, known: readonly RankLoad[]): { surplusTokens: number, shareTokens: number, runningTokens: number } {
    const { totalTokens, running, waiting } = this.observation as LevelObservation
    const getTokens = (loads: readonly RankLoad[]): number => loads.find((load) => load.rank === rank)?.tokens ?? 0
    const knownTokens = getTokens(known)
    const part = knownTokens === 0 ? 0 : Math.min(1, getTokens(waiting) / knownTokens)
    return {
      surplusTokens: Math.max(0, this.computeSurplus(rank)) * Math.max(1 / this.entries, part),
      shareTokens: totalTokens * minShare / this.entries / Math.max(1, this.shares.size),
      runningTokens: getTokens(running)
    }
  }

  /** @returns tokens of free capacity that more urgent calls do not need or cannot use; negative if they need more */
  private computeSurplus (rank: number): number {
    const urgent = this.waiting.filter((load) => load.rank < rank)
    const count = urgent.reduce((sum, load) => sum + load.count, 0)
    const tokens = urgent.reduce((sum, load) => sum + load.tokens, 0)
    if (count === 0) return Infinity
    return Math.max(this.computeFree(tokens / count) - tokens, this.computeIdle())
  }

  /** @returns free capacity in tokens, where a free slot stands for one call of the given mean size */
  private computeFree (meanTokens: number): number {
    const { freeTokens, freeSlots } = this.observation as LevelObservation
    return Math.max(0, Math.min(freeTokens, freeSlots * Math.max(1, meanTokens)))
  }

  private recordFree (nowMs: number): void {
    const first = this.waiting[0]
    if (first === undefined) {
      this.needSinceMs = Infinity
      this.freeHistory = []
      return
    }
    this.needSinceMs = Math.min(this.needSinceMs, nowMs)
    this.freeHistory = [...this.freeHistory.filter(({ atMs }) => nowMs - atMs <= maxIdleMs), { atMs: nowMs, tokens: this.computeFree(first.tokens / first.count) }]
  }

  /** @returns tokens that have stayed free for {@link maxIdleMs} while urgent calls waited */
  private computeIdle (): number {
    if (this.observedMs - this.needSinceMs < maxIdleMs) return 0
    return Math.min(...this.freeHistory.map(({ tokens }) => tokens))
  }
}
