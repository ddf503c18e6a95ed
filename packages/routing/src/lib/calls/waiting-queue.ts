/**
 * Queue of calls that wait in an entry for a free slot.
 *
 * Addresses a burst, or the loss of endpoints, when no slot is free for a while: calls wait here instead of accumulating
 * at endpoints. The most urgent priority goes first, and within a priority the team with the lowest recent usage, so that
 * a flood of calls of one team does not delay others. A call that cannot be served in time is refused at once, with the
 * time after which to retry.
 */
import type { Clock } from '@clementineloft/kernel'

/** A waiting call. */
export interface WaitingCall {
  /** Priority; 0 is the most urgent. */
  rank: number
  team: string
  /** Work of the call, in tokens. */
  cost: number
  /** Time at which the call expires, in milliseconds of the clock. */
  untilMs: number
}

/** Weight of the newest interval in the exponential moving average of the time between two starts. */
const smoothingFactor = 0.1
/** Time after which the usage of each team is halved, in milliseconds, so that only recent usage counts. */
const halfLifeMs = 5000

/** Orders waiting calls. */
export class WaitingQueue<Call extends WaitingCall> {
  private readonly calls: Call[] = []
  private readonly usageByTeam = new Map<string, number>()
  private lastDecayMs = 0
  private meanIntervalMs = 0
  private lastStartMs = -Infinity

  constructor (private readonly clock: Clock) {}

  /** @returns number of waiting calls */
  getLength (): number {
    return this.calls.length
  }

  /** @returns estimated wait of a call that is added now, in milliseconds, from the rate of recent starts */
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

  /** @returns the calls in the order in which to start them */
  list (): Call[] {
    this.decay()
    const order = new Map(this.calls.map((call, index) => [call, index]))
    const getUsage = (call: Call): number => this.usageByTeam.get(call.team) ?? 0
    return [...this.calls].sort((a, b) => a.rank - b.rank || getUsage(a) - getUsage(b) || (order.get(a) as number) - (order.get(b) as number))
  }

  /** Removes the expired calls and returns them. */
  takeExpired (): Call[] {
    const nowMs = this.clock.now()
    const expired = this.calls.filter((call) => call.untilMs <= nowMs)
    for (const call of expired) this.remove(call)
    return expired
  }

  /** Records the start of a call, whether or not it had to wait. */
  recordStart (team: string, cost: number): void {
    this.decay()
    this.usageByTeam.set(team, (this.usageByTeam.get(team) ?? 0) + cost)
    const nowMs = this.clock.now()
    if (this.lastStartMs > -Infinity) this.meanIntervalMs += (nowMs - this.lastStartMs - this.meanIntervalMs) * smoothingFactor
    this.lastStartMs = nowMs
  }

  private decay (): void {
    const nowMs = this.clock.now()
    if (nowMs - this.lastDecayMs < halfLifeMs) return
    this.lastDecayMs = nowMs
    for (const [team, used] of this.usageByTeam) this.usageByTeam.set(team, used / 2)
  }
}
