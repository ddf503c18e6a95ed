/**
 * Draws the arrival times of calls from a Poisson process, as many independent callers produce it. The rate is higher
 * during the burst.
 */
import { SeededRandom } from '@clementineloft/kernel'
import { SoakCall } from '../soak/soak-traffic.js'
import type { ExperimentSettings } from './experiment-settings.js'

/** Arrival of one call. */
export interface Arrival {
  atMs: number
  kind: SoakCall
}

const millisecondsPerSecond = 1000

/**
 * @param load - rates and burst
 * @param durationS - period of arrivals, in seconds
 * @param seed - determines the arrivals, together with the load and the duration
 * @returns arrivals in order of their time
 */
export const planArrivals = (load: ExperimentSettings['load'], durationS: number, seed: number): Arrival[] => {
  const random = new SeededRandom(seed)
  const rates: Array<[SoakCall, number]> = [
    [SoakCall.stream, load.streams_per_s], [SoakCall.booking, load.bookings_per_s], [SoakCall.lookUp, load.look_ups_per_s]
  ]
  const arrivals: Arrival[] = []
  for (const [kind, rate] of rates.filter(([, perSecond]) => perSecond > 0)) {
    const computeInterarrivalS = (atS: number): number => {
      const isBurst = atS >= load.burst_at_s && atS < load.burst_at_s + load.burst_for_s
      return -Math.log(1 - random.next()) / (rate * (isBurst ? load.burst_factor : 1))
    }
    for (let atS = computeInterarrivalS(0); atS < durationS; atS += computeInterarrivalS(atS)) arrivals.push({ atMs: atS * millisecondsPerSecond, kind })
  }
  return arrivals.sort((one, other) => one.atMs - other.atMs)
}
