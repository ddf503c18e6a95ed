/**
 * Compares placement policies by the share of streams that a mixed fleet serves in time.
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
const boundShares = [0.2, 0.3, 0.4]
/** Number of entries in a large deployment, where each entry learns of most requests of the others only from reports. */
const manyEntries = 44
const overload = new WaitBriefly()

const policies: Record<string, PlacementFactory> = {
  random: (_dataCentre, _clock, random) => new RandomPlacement(engine.layers, random),
  'better of two': (_dataCentre, _clock, random) => new BetterOfTwoPlacement(engine.layers, random),
  'least loaded': () => new LeastLoadedPlacement(engine.layers),
  'least time, own requests counted once': (dataCentre, clock) => new LeastCostPlacement(engine, dataCentre, 1, clock),
  'least time, counted for all entries (ours)': createRouterPlacement
}

const measureLoad = ({ endpoints, bound }: MixedFleet, createPlacement: PlacementFactory, share: number, entries: number): string[] => {
  const load = { seconds, getRate: () => share * bound, teams: ['one'], entries }
  const { arrived, served, inTime, sent, queuedOnArrival, refusals, timedOut, firstEventMs } = new ReplayRun(endpoints, engine, load, { createPlacement, overload }, seed).run()
  return [
    formatShare(served, arrived), formatShare(inTime, arrived), formatShare(refusals, arrived), formatShare(timedOut, arrived), formatShare(queuedOnArrival, sent),
    computeQuantile(firstEventMs, 0.5).toFixed(0), computeQuantile(firstEventMs, 0.95).toFixed(0)
  ]
}

/** Measures placement policies at several fractions of the flow bound of the fleet. */
export const measurePlacing = (): MeasuredTable => {
  const fleet = createMixedFleet()
  const { endpoints, bound } = fleet
  const rows = boundShares.flatMap((share) => [
    ...Object.entries(policies).map(([name, createPlacement]) => [name, share, ...measureLoad(fleet, createPlacement, share, entryCount)]),
    [`ours, ${manyEntries} entries`, share, ...measureLoad(fleet, createLeastCostFactory(manyEntries), share, manyEntries)]
  ])
  return {
    title: 'Placing: streams over a mixed fleet',
    note: `${endpoints.length} endpoints of three types in three data centres, ${entryCount} entries, reports every 330 ms, ${seconds} s. The bound, ${bound.toFixed(0)} streams a second, is the maximum flow of layers through the endpoints' processors and memory, ignoring hops, queues and the cost of batching. In time: first event within 500 ms of the caller's first arrival. Left: no event for 2.5 s. No room: streams that had to wait at an endpoint because it had no free slot or memory when they arrived. Seed ${seed}.`,
    columns: ['policy', 'offered, share of the bound', 'served', 'in time', 'refused', 'left', 'no room', 'first event p50 ms', 'p95 ms'],
    rows
  }
}
