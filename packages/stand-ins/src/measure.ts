/**
 * Runs measurements and prints them as Markdown tables. `measure.js NAME…` runs only the named ones; `--pictures FOLDER`
 * also writes their charts.
 */
import { measureBalance } from './measure/measure-balance.js'
import { measureClaims } from './measure/measure-claims.js'
import { measureShares, measureWaiting } from './measure/measure-fairness.js'
import { measureLayoutGoal } from './measure/measure-layout-goal.js'
import { measureLayoutLimits } from './measure/measure-layout-limits.js'
import { measureLayoutLosses } from './measure/measure-layout-losses.js'
import { measureLayoutTime } from './measure/measure-layout-time.js'
import { measureMemory } from './measure/measure-memory.js'
import { measureOverload } from './measure/measure-overload.js'
import { measurePlacing } from './measure/measure-placing.js'
import { measurePicking } from './measure/measure-picking.js'
import { measurePath, measurePathCostTable } from './measure/measure-path.js'
import { measureRankBursts } from './measure/measure-rank-bursts.js'
import { measureRanks } from './measure/measure-ranks.js'
import { measureRegrouping } from './measure/measure-regrouping.js'
import { measureSpread } from './measure/measure-spread.js'
import { measureTurningAway } from './measure/measure-turning-away.js'
import { writePicture } from './measure/picture.js'
import type { PictureOptions } from './measure/picture.js'
import { formatTable } from './measure/table.js'
import type { MeasuredTable } from './measure/table.js'

interface Measurement {
  measure: () => Promise<MeasuredTable> | MeasuredTable | MeasuredTable[]
  picture?: PictureOptions
}

const measurements: Record<string, Measurement> = {
  picking: { measure: measurePicking, picture: { label: 0, values: [1, 2, 3, 4], axis: 'share of the maximum flow, %' } },
  balance: { measure: measureBalance },
  memory: { measure: measureMemory },
  placing: { measure: measurePlacing },
  regrouping: { measure: measureRegrouping },
  'layout-goal': { measure: measureLayoutGoal },
  'layout-limits': { measure: measureLayoutLimits },
  'layout-losses': { measure: measureLayoutLosses },
  'layout-time': { measure: measureLayoutTime },
  'turning-away': { measure: () => [measureTurningAway(), measureRankBursts()] },
  waiting: { measure: measureWaiting },
  shares: { measure: measureShares, picture: { label: 0, values: [6], axis: 'worst deviation from the expected share, %' } },
  ranks: { measure: measureRanks },
  overload: { measure: measureOverload },
  claims: { measure: measureClaims, picture: { label: 0, values: [1], axis: 'store writes a second' } },
  spread: { measure: measureSpread, picture: { label: 0, values: [2, 3], axis: 'milliseconds' } },
  path: { measure: measurePath, picture: { label: 0, values: [2, 3, 4], axis: 'milliseconds' } },
  cost: { measure: measurePathCostTable }
}

const pictureOption = '--pictures'
const args = process.argv.slice(2)
const folder = args.includes(pictureOption) ? args[args.indexOf(pictureOption) + 1] : undefined
const selected = args.filter((arg) => arg !== pictureOption && arg !== folder)
for (const [name, { measure, picture }] of Object.entries(measurements)) {
  if (selected.length > 0 && !selected.includes(name)) continue
  for (const table of [await measure()].flat()) {
    process.stdout.write(`${formatTable(table)}\n`)
    if (folder !== undefined && picture !== undefined) await writePicture(table, picture, folder, name)
  }
}
