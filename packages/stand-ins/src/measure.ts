/**
 * Prints measurements. `measure.js NAME…` runs only those named.
 */
import { measureClaims } from './measure/measure-claims.js'
import { measureShares, measureWaiting } from './measure/measure-fairness.js'
import { measureOverload } from './measure/measure-overload.js'
import { measurePicking } from './measure/measure-picking.js'
import { measurePath, measurePathCostTable } from './measure/measure-path.js'
import { measureSpread } from './measure/measure-spread.js'
import { formatTable } from './measure/table.js'
import type { MeasuredTable } from './measure/table.js'

const measurements: Record<string, () => Promise<MeasuredTable> | MeasuredTable> = {
  picking: measurePicking,
  waiting: measureWaiting,
  shares: measureShares,
  overload: measureOverload,
  claims: measureClaims,
  spread: measureSpread,
  path: measurePath,
  cost: measurePathCostTable
}

const wanted = process.argv.slice(2)
for (const [name, measure] of Object.entries(measurements)) {
  if (wanted.length > 0 && !wanted.includes(name)) continue
  process.stdout.write(`${formatTable(await measure())}\n`)
}
