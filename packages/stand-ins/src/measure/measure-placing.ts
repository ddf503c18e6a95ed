/**
 * Streams over a mixed fleet: how many are served in time, by the way in which paths are chosen.
 */
import { engine } from '@clementineloft/routing/test-fleet'
import { createLeastCostFactory, createMixedFleet, createRouterPlacement, entryCount } from '../replay/mixed-fleet.js'
import type { MixedFleet } from '../replay/mixed-fleet.js'
import { BetterOfTwoPlacement, LeastCostPlacement, LeastLoadedPlacement, RandomPlacement } from '../replay/placement-policy.js'
import type { PlacementFactory } from '../replay/placement-policy.js'
import { ReplayRun } from '../replay/replay-run.js'
import { WaitBriefly } from '../replay/overload-policy.js'
import { computeQuantile, formatShare } from './table.js'
import type { MeasuredTable } from './table.js'

const seed = 7
const seconds = 30
const shares = [0.2, 0.3, 0.4]
/** Entries of a grown deployment: few of them see each other's requests before a report does. */
const manyEntries = 44
const turning = new WaitBriefly()

const ways: Record<string, PlacementFactory> = {
  random: (_dataCentre, _clock, random) => new RandomPlacement(engine.layers, random),
  'better of two': (_dataCentre, _clock, random) => new BetterOfTwoPlacement(engine.layers, random),
  'least loaded': () => new LeastLoadedPlacement(engine.layers),
  'least time, own requests counted once': (dataCentre, clock) => new LeastCostPlacement(engine, dataCentre, 1, clock),
  'least time, counted for all entries (ours)': createRouterPlacement
}

const measureLoad = ({ endpoints, bound }: MixedFleet, createPlacing: PlacementFactory, share: number, entries: number): string[] => {
  const load = { seconds, getRate: () => share * bound, teams: ['one'], entries }
  const { arrived, served, inTime, sent, queuedOnArrival: crowded, refusals, left, firstEventMs } = new ReplayRun(endpoints, engine, load, { createPlacement: createPlacing, overload: turning }, seed).run()
  return [
    formatShare(served, arrived), formatShare(inTime, arrived), formatShare(refusals, arrived), formatShare(left, arrived), formatShare(crowded, sent),
    computeQuantile(firstEventMs, 0.5).toFixed(0), computeQuantile(firstEventMs, 0.95).toFixed(0)
  ]
}

/** Measures ways of placing at shares of what the hardware can serve. */
export const measurePlacing = (): MeasuredTable => {
  const fleet = createMixedFleet()
  const { endpoints, bound } = fleet
  const rows = shares.flatMap((share) => [
    ...Object.entries(ways).map(([name, createPlacing]) => [name, share, ...measureLoad(fleet, createPlacing, share, entryCount)]),
    [`ours, ${manyEntries} entries`, share, ...measureLoad(fleet, createLeastCostFactory(manyEntries), share, manyEntries)]
  ])
  return {
    title: 'Placing: streams over a mixed fleet',
    note: `${endpoints.length} endpoints of three types in three data centres, ${entryCount} entries, reports every 330 ms, ${seconds} s. The bound, ${bound.toFixed(0)} streams a second, is the maximum flow of layers through the endpoints' processors and memory, without hops, lines or the cost of a batch. In time: first event within 500 ms of the caller's first arrival. Left: no event for 2.5 s. No room: streams for which an endpoint had none when they came. Seed ${seed}.`,
    columns: ['way', 'offered, share of the bound', 'served', 'in time', 'refused', 'left', 'no room', 'first event p50 ms', 'p95 ms'],
    rows
  }
}
