/**
 * Queue of calls of one service that wait in an entry for free capacity.
 *
 * Addresses a burst, or the loss of endpoints, when nothing is free for a while: calls wait here instead of accumulating
 * at endpoints. The most urgent rank goes first, within it calls that were already sent, and among the others the team with
 * the lowest recent usage, so that a flood of calls of one team does not delay others; no team is served far below the mean. A call that cannot be served in time
 * is refused at once, with the time after which to retry.
 */
import type { Clock } from '@clementineloft/kernel'
import { StartInterval } from './start-interval.js'
import { TeamShares } from './team-shares.js'

/** A waiting call. */
export interface WaitingCall {
  /** Priority; 0 is the most urgent. */
  readonly rank: number
  readonly team: string
  /** Work of the call, in tokens. */
  readonly cost: number
  /** Memory that the call needs to start, in tokens. Where it finds none, a call that needs more finds none either. */
  readonly need: number
  /** Whether the call was sent before. It goes before others of its rank, and it avoids endpoints that others may use. */
  readonly isResumed: boolean
  /** Time at which the call expires, in milliseconds of the clock. */
  readonly untilMs: number
}

/** Smallest share of the starts that the estimate leaves to a rank while more urgent calls are started. */
const minRankShare = 0.125

/** @returns whether a waiting call has a claim on free capacity before a call that arrives now */
const hasPrecedence = (waiting: WaitingCall, arriving: WaitingCall): boolean =>
  waiting.rank < arriving.rank || (waiting.rank === arriving.rank && (waiting.isResumed || !arriving.isResumed))

const collectBy = <Key, Item>(items: Iterable<Item>, getKey: (item: Item) => Key): Map<Key, Item[]> => {
  const groups = new Map<Key, Item[]>()
  for (const item of items) {
    const key = getKey(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}

/** Orders waiting calls of one service. */
export class WaitingQueue<Call extends WaitingCall> {
  private readonly calls = new Set<Call>()
  private readonly shares: TeamShares
  private readonly interval: StartInterval

  constructor (private readonly clock: Clock) {
    this.shares = new TeamShares(clock)
    this.interval = new StartInterval(clock)
  }

  /** @returns number of waiting calls */
  getLength (): number {
    return this.calls.size
  }

  /** @returns whether a call waits */
  has (call: Call): boolean {
    return this.calls.has(call)
  }

  /** @returns the waiting calls in order of arrival */
  listByArrival (): Call[] {
    return [...this.calls]
  }

  /** @returns number of waiting calls of a rank */
  count (rank: number): number {
    return [...this.calls].filter((call) => call.rank === rank).length
  }

  /** @returns estimated wait of a call that is added now, in milliseconds, from the rate of recent starts */
  estimateWait (call: Pick<WaitingCall, 'rank' | 'team' | 'cost'>): number {
    return this.countAhead(call) * (this.getInterval(call.rank) ?? 0)
  }

  /**
   * @returns expected time between two starts that are left to calls of a rank, in milliseconds; `undefined` if nothing is
   *   known yet
   */
  getInterval (rank: number): number | undefined {
    const intervalMs = this.interval.get()
    if (intervalMs === undefined) return undefined
    return intervalMs / Math.max(minRankShare, 1 - this.shares.computeMoreUrgentShare(rank))
  }

  /** Adds a call. */
  add (call: Call): void {
    this.calls.add(call)
    this.interval.recordWaiting(true)
  }

  /** Removes a call that no longer waits. */
  remove (call: Call): void {
    if (this.calls.delete(call)) this.interval.recordWaiting(this.calls.size > 0)
  }

  /** @returns the waiting calls that have a claim on free capacity before a call that arrives now, in order of arrival */
  listBefore (arriving: WaitingCall): Call[] {
    return [...this.calls].filter((call) => hasPrecedence(call, arriving))
  }

  /**
   * @param calls - waiting calls, in order of arrival; all of them if absent
   * @returns the calls in the order in which to start them, which follows the starts that are recorded meanwhile; calls that
   *   have left the queue are left out
   */
  * list (calls: Iterable<Call> = this.calls): Generator<Call> {
    const ranks = collectBy(calls, ({ rank }) => rank)
    for (const [rank, ofRank] of [...ranks].sort(([a], [b]) => a - b)) {
      for (const call of ofRank.filter(({ isResumed }) => isResumed)) if (this.calls.has(call)) yield call
      yield * this.listByTeam(rank, ofRank.filter(({ isResumed }) => !isResumed))
    }
  }

  /** Removes the expired calls and returns them. */
  takeExpired (): Call[] {
    const nowMs = this.clock.now()
    const expired = [...this.calls].filter((call) => call.untilMs <= nowMs)
    for (const call of expired) this.remove(call)
    return expired
  }

  /** Records the start of a call, whether or not it had to wait. It leaves the queue. */
  recordStart (call: Call): void {
    this.shares.recordStart(call.rank, call.team, call.cost)
    this.interval.recordStart()
    this.remove(call)
  }

  /** Teams take turns; one that has used more recently waits for as many further calls of the others. */
  private countAhead ({ rank, team, cost }: Pick<WaitingCall, 'rank' | 'team' | 'cost'>): number {
    let ahead = 0
    const countByTeam = new Map<string, number>()
    for (const call of this.calls) {
      if (call.rank < rank || (call.rank === rank && call.isResumed)) ahead++
      else if (call.rank === rank) countByTeam.set(call.team, (countByTeam.get(call.team) ?? 0) + 1)
    }
    const own = countByTeam.get(team) ?? 0
    const usage = this.shares.getUsage(team)
    for (const [other, count] of countByTeam) {
      if (other === team) continue
      const turns = own + 1 + Math.ceil((usage - this.shares.getUsage(other)) / Math.max(1, cost))
      ahead += Math.max(0, Math.min(count, turns))
    }
    return ahead + own
  }

  private * listByTeam (rank: number, calls: readonly Call[]): Generator<Call> {
    const teams = collectBy(calls, ({ team }) => team)
    while (teams.size > 0) {
      const team = this.shares.pickNext(rank, [...teams.keys()])
      const ofTeam = teams.get(team) as Call[]
      const call = ofTeam.shift() as Call
      if (ofTeam.length === 0) teams.delete(team)
      if (this.calls.has(call)) yield call
    }
  }
}
