/**
 * Compares layouts of a fleet that has lost endpoints permanently: neighbours that take over their layers, regrouped
 * endpoints, and a layout planned from scratch.
 */
import { SeededRandom } from '@clementineloft/kernel'
import { planLayout, regroupLayout } from '@clementineloft/routing'
import { createMembers, engine } from '@clementineloft/routing/test-fleet'
import { countLoads } from '../replay/count-loads.js'
import { createFleet, createRouterPlacement, repairAfterLoss } from '../replay/mixed-fleet.js'
import type { MixedFleet } from '../replay/mixed-fleet.js'
import { ReplayRun } from '../replay/replay-run.js'
import type { ReplayResult } from '../replay/replay-load.js'
import { WaitBriefly } from '../replay/overload-policy.js'
import { computeQuantile, formatShare } from './table.js'
import type { MeasuredTable } from './table.js'

const seed = 13
const seconds = 20
const rate = 75
const lostCounts = [2, 4, 6]
const draws = 4
const layoutNames = ['neighbours widened', 'regrouped (ours)', 'planned from scratch']

interface LayoutResult {
  bound: number
  loads: number
  result: ReplayResult
}

const measureLoad = ({ endpoints }: MixedFleet): ReplayResult => {
  const load = { seconds, getRate: () => rate, teams: ['one'] }
  return new ReplayRun(endpoints, engine, load, { createPlacement: createRouterPlacement, overload: new WaitBriefly() }, seed).run()
}

/** @returns addresses of endpoints picked at random */
const pickLost = (count: number, random: SeededRandom): Set<string> => {
  const lost = new Set<string>()
  while (lost.size < count) lost.add(random.pickItem(createMembers()).address)
  return lost
}

/** @returns result of each layout of the fleet after a loss, in the order of {@link layoutNames} */
const measureLoss = (lost: ReadonlySet<string>): LayoutResult[] => {
  const { members, layout } = repairAfterLoss(lost)
  const layouts = [layout, regroupLayout(layout, members, engine) ?? layout, planLayout(members, engine)]
  return layouts.map((next) => {
    const fleet = createFleet(members, next)
    return { bound: fleet.bound, loads: countLoads(layout, next), result: measureLoad(fleet) }
  })
}

const formatRow = (count: number, name: string, results: readonly LayoutResult[]): Array<string | number> => {
  const addResults = (getValue: (result: LayoutResult) => number): number => results.reduce((sum, result) => sum + getValue(result), 0)
  const arrived = addResults(({ result }) => result.arrived)
  return [
    count, name, (addResults(({ bound }) => bound) / draws).toFixed(0), (addResults(({ loads }) => loads) / draws).toFixed(1),
    formatShare(addResults(({ result }) => result.served), arrived), formatShare(addResults(({ result }) => result.inTime), arrived),
    formatShare(addResults(({ result }) => result.refusals), arrived),
    computeQuantile(results.flatMap(({ result }) => result.firstEventMs), 0.95).toFixed(0)
  ]
}

/** Measures the streams served after permanent losses, by layout. */
export const measureRegrouping = (): MeasuredTable => {
  const random = new SeededRandom(seed)
  const rows = lostCounts.flatMap((count) => {
    const results = Array.from({ length: draws }, () => measureLoss(pickLost(count, random)))
    return layoutNames.map((name, index) => formatRow(count, name, results.map((result) => result[index] as LayoutResult)))
  })
  return {
    title: 'Regrouping: streams after permanent losses',
    note: `The fleet and the entries of the table above, ${rate} streams a second for ${seconds} s, ${draws} draws of lost endpoints per row, measured after all layers are loaded. Bound: maximum streams a second. Loads: endpoints that must load layers. Seed ${seed}.`,
    columns: ['lost of 33', 'layout', 'bound', 'loads', 'served', 'in time', 'refused', 'first event p95 ms'],
    rows
  }
}
