/**
 * Compares the loads and the remaining copies of layouts by goal while endpoints are lost in pairs.
 */
import { LayoutGoal } from '@clementineloft/routing'
import { runLayoutLosses } from '../replay/run-layout-losses.js'
import { evenFleet, swingingFleet } from '../replay/uneven-fleets.js'
import type { MeasuredTable } from './table.js'

const seconds = 600
const seeds = [1, 2, 3, 4, 5, 6, 7, 8]

/** Measures loads and copies during losses, by goal of the layout. */
export const measureLayoutLosses = (): MeasuredTable => ({
  title: 'Layouts by goal: loads during losses',
  note: `The fleets of the table above, ${seconds} s, means of ${seeds.length} seeds. Every 30 s two endpoints of one data centre are lost, in 60% of the cases for 3 to 5 s, else replaced by empty ones after 20 s; a new sidecar takes the lease every 120 s. Copies: fewest of a layer at endpoints that do not load.`,
  columns: ['fleet', 'goal', 'layouts written', 'loads', 'layers loaded', 'fewest copies'],
  rows: [swingingFleet, evenFleet].flatMap(({ name, members, engine }) => Object.values(LayoutGoal).map((goal) => {
    const results = seeds.map((seed) => runLayoutLosses(members, { ...engine, goal }, seconds, seed))
    const [changes, loads, layers] = (['changes', 'loads', 'loadedLayers'] as const).map((key) =>
      (results.reduce((sum, result) => sum + result[key], 0) / seeds.length).toFixed(0)) as [string, string, string]
    return [name, goal, changes, loads, layers, Math.min(...results.map(({ fewestCopies }) => fewestCopies))]
  }))
})
