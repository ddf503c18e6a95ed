/**
 * Draws when calls arrive: at random times with a given mean rate, as from many callers that know nothing of each other.
 */
import { SeededRandom } from '@clementineloft/kernel'
import { SoakCall } from '../soak/soak-traffic.js'
import type { ExperimentSettings } from './experiment-settings.js'

/** One call that arrives. */
export interface Arrival {
  atMs: number
  kind: SoakCall
}

const millisecondsPerSecond = 1000

/**
 * @param load - rates and burst
 * @returns arrivals in order of their time; the same seed gives the same
 */
export const planArrivals = (load: ExperimentSettings['load'], durationS: number, seed: number): Arrival[] => {
  const random = new SeededRandom(seed)
  const rates: Array<[SoakCall, number]> = [
    [SoakCall.stream, load.streams_per_s], [SoakCall.booking, load.bookings_per_s], [SoakCall.lookUp, load.look_ups_per_s]
  ]
  const arrivals: Arrival[] = []
  for (const [kind, rate] of rates.filter(([, perSecond]) => perSecond > 0)) {
    const computePause = (atS: number): number => {
      const isBurst = atS >= load.burst_at_s && atS < load.burst_at_s + load.burst_for_s
      return -Math.log(1 - random.next()) / (rate * (isBurst ? load.burst_factor : 1))
    }
    for (let atS = computePause(0); atS < durationS; atS += computePause(atS)) arrivals.push({ atMs: atS * millisecondsPerSecond, kind })
  }
  return arrivals.sort((one, other) => one.atMs - other.atMs)
}
