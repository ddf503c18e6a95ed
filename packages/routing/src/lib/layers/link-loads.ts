/**
 * How busy the links between data centres are with what requests hand from one endpoint to the next.
 *
 * Answers the load pattern of a data centre that has lost its own copy of some layers: every request then crosses, the
 * links fill, and all streams that cross stand in one line. A busy link costs more, so that requests take slower
 * endpoints near by before the line grows without end.
 */
import type { Clock } from '@clementineloft/kernel'

/** Time over which the rate of a link is averaged, in milliseconds: a few streams' length. */
const windowMs = 1000
/** Busiest state that is told apart; the cost of a link grows no further. */
const mostBusy = 0.97

interface LinkRate {
  megabitsPerMs: number
  updatedMs: number
}

const getKey = (a: string, b: string): string => a < b ? `${a} ${b}` : `${b} ${a}`

/** Rates of the links as one entry causes them. */
export class LinkLoads {
  private readonly rates = new Map<string, LinkRate>()

  constructor (private readonly clock: Clock) {}

  /** Notes that so many megabits will cross between two data centres. */
  record (from: string, to: string, megabits: number): void {
    const key = getKey(from, to)
    const rate = this.rates.get(key) ?? { megabitsPerMs: 0, updatedMs: this.clock.now() }
    this.rates.set(key, { megabitsPerMs: this.decay(rate) + megabits / windowMs, updatedMs: this.clock.now() })
  }

  /**
   * @param megabitsPerSecond - rate of the link
   * @param entries - entries that cause as much as this one
   * @returns factor by which a transfer takes longer than over an idle link
   */
  estimateDelayFactor (from: string, to: string, megabitsPerSecond: number, entries: number): number {
    const rate = this.rates.get(getKey(from, to))
    if (rate === undefined) return 1
    const busy = Math.min(mostBusy, this.decay(rate) * windowMs * entries / megabitsPerSecond)
    return 1 / (1 - busy)
  }

  private decay (rate: LinkRate): number {
    return rate.megabitsPerMs * Math.exp(-(this.clock.now() - rate.updatedMs) / windowMs)
  }
}
