/**
 * Calls that wait in an entry for a place.
 *
 * Answers the load pattern of a burst, or of endpoints lost, when no place is free for a moment: calls wait here instead
 * of piling up at endpoints; the most urgent rank goes first, and within a rank the team that has used least, so that
 * nobody waits behind a rival's flood. Who cannot be served in time is told at once, with the time at which to return.
 */
import type { Clock } from '@clementineloft/kernel'

/** A call that waits. */
export interface WaitingCall {
  /** Rank of its terms; 0 is the most urgent. */
  rank: number
  team: string
  /** Work in the call, in tokens. */
  cost: number
  /** When waiting no longer helps, in milliseconds of the clock. */
  untilMs: number
}

/** Weight of the newest interval in the mean time between two starts. */
const newestWeight = 0.1
/** Shares used are halved after this time, in milliseconds, so that only recent use counts. */
const halfLifeMs = 5000

/** Orders the calls that wait. */
export class WaitingLine<Call extends WaitingCall> {
  private readonly calls: Call[] = []
  private readonly usedByTeam = new Map<string, number>()
  private decayedMs = 0
  private meanIntervalMs = 0
  private lastStartMs = -Infinity

  constructor (private readonly clock: Clock) {}

  /** @returns number of calls that wait */
  getLength (): number {
    return this.calls.length
  }

  /** @returns how long a call that joins now would wait, in milliseconds, from the pace of the last starts */
  estimateWait (rank: number): number {
    const ahead = this.calls.filter((call) => call.rank <= rank).length
    return ahead * this.meanIntervalMs
  }

  /** Adds a call. */
  add (call: Call): void {
    this.calls.push(call)
  }

  /** Removes a call that no longer waits. */
  remove (call: Call): void {
    const index = this.calls.indexOf(call)
    if (index !== -1) this.calls.splice(index, 1)
  }

  /** @returns the calls in the order in which they should start */
  list (): Call[] {
    this.decay()
    const order = new Map(this.calls.map((call, index) => [call, index]))
    const getUsed = (call: Call): number => this.usedByTeam.get(call.team) ?? 0
    return [...this.calls].sort((a, b) => a.rank - b.rank || getUsed(a) - getUsed(b) || (order.get(a) as number) - (order.get(b) as number))
  }

  /** Removes the calls whose time has passed, and returns them. */
  takeExpired (): Call[] {
    const nowMs = this.clock.now()
    const expired = this.calls.filter((call) => call.untilMs <= nowMs)
    for (const call of expired) this.remove(call)
    return expired
  }

  /** Notes that a call has started, whether or not it had to wait. */
  recordStart (team: string, cost: number): void {
    this.decay()
    this.usedByTeam.set(team, (this.usedByTeam.get(team) ?? 0) + cost)
    const nowMs = this.clock.now()
    if (this.lastStartMs > -Infinity) this.meanIntervalMs += (nowMs - this.lastStartMs - this.meanIntervalMs) * newestWeight
    this.lastStartMs = nowMs
  }

  private decay (): void {
    const nowMs = this.clock.now()
    if (nowMs - this.decayedMs < halfLifeMs) return
    this.decayedMs = nowMs
    for (const [team, used] of this.usedByTeam) this.usedByTeam.set(team, used / 2)
  }
}
