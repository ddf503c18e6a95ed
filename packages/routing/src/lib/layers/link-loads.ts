/**
 * Estimates the utilization of links between data centres by transfers of requests between endpoints.
 *
 * Addresses a data centre that has lost its own copy of some layers: every request then crosses to another data centre,
 * the links saturate, and all crossing streams wait in one queue. The cost of a link rises with its utilization, so that
 * requests use slower endpoints in the same data centre before the queue grows without bound.
 */
import type { Clock } from '@clementineloft/kernel'

/** Time over which the rate of a link is averaged, in milliseconds; the length of a few streams. */
const windowMs = 1000
/** Maximum utilization that is distinguished; the cost of a link does not rise beyond it. */
const maxUtilization = 0.97

interface LinkRate {
  megabitsPerMs: number
  updatedMs: number
}

const getKey = (a: string, b: string): string => a < b ? `${a} ${b}` : `${b} ${a}`

/** Transfer rates that one entry causes on the links between data centres. */
export class LinkLoads {
  private readonly rates = new Map<string, LinkRate>()

  constructor (private readonly clock: Clock) {}

  /** Records a transfer between two data centres, in megabits. */
  record (from: string, to: string, megabits: number): void {
    const key = getKey(from, to)
    const rate = this.rates.get(key) ?? { megabitsPerMs: 0, updatedMs: this.clock.now() }
    this.rates.set(key, { megabitsPerMs: this.decay(rate) + megabits / windowMs, updatedMs: this.clock.now() })
  }

  /**
   * @param megabitsPerSecond - bandwidth of the link
   * @param entries - number of entries, each of which is assumed to cause the same rate as this one
   * @returns factor by which a transfer takes longer than over an idle link
   */
  estimateDelayFactor (from: string, to: string, megabitsPerSecond: number, entries: number): number {
    const rate = this.rates.get(getKey(from, to))
    if (rate === undefined) return 1
    const busy = Math.min(maxUtilization, this.decay(rate) * windowMs * entries / megabitsPerSecond)
    return 1 / (1 - busy)
  }

  private decay (rate: LinkRate): number {
    return rate.megabitsPerMs * Math.exp(-(this.clock.now() - rate.updatedMs) / windowMs)
  }
}
