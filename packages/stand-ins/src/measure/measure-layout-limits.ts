/**
 * Measures what limits the streams served on the planned layout of a fleet whose types are spread unevenly: memory,
 * processors, the stage with the least capacity, or the links between data centres.
 */
import { countCopies, coverAbsent, planLayout, regroupLayout, repairLayout, spareWave } from '@clementineloft/routing'
import type { EngineConfig, LayerAssignment, LayoutMember } from '@clementineloft/routing'
import { createEndpoints } from '@clementineloft/routing/test-fleet'
import { computeFlowBound } from '../replay/flow-bound.js'
import { evenFleet, swingingFleet } from '../replay/uneven-fleets.js'
import type { UnevenFleet } from '../replay/uneven-fleets.js'
import type { MeasuredTable } from './table.js'

const computeBound = (members: readonly LayoutMember[], layout: readonly LayerAssignment[], engine: EngineConfig): number =>
  computeFlowBound(createEndpoints(members, layout).filter(({ layers }) => layers !== undefined), engine)

const describeGroups = (layout: readonly LayerAssignment[], index: ReadonlyMap<string, LayoutMember>): string => {
  const waves = [...new Set(layout.map(({ wave }) => wave))].filter((wave) => wave !== spareWave)
  return waves.map((wave) => {
    const parts = layout.filter((part) => part.wave === wave).map((part) => index.get(part.address) as LayoutMember)
    return [...new Set(parts.map((part) => part.dataCentre))].join('') + parts.length
  }).join(' ')
}

const describe = (label: string, members: readonly LayoutMember[], layout: readonly LayerAssignment[], engine: EngineConfig): Array<string | number> => {
  const index = new Map(members.map((member) => [member.address, member]))
  const copies = countCopies(layout, engine.layers)
  const roomy: EngineConfig = { ...engine, tokenBytes: engine.tokenBytes / 20 }
  const fast: EngineConfig = { ...engine, requestStepMs: engine.requestStepMs / 20, stepMs: engine.stepMs / 2, promptTokensPerSecond: engine.promptTokensPerSecond * 2 }
  const long: EngineConfig = { ...engine, usualPromptTokens: engine.usualPromptTokens * 2 }
  const answers: EngineConfig = { ...engine, usualAnswerTokens: engine.usualAnswerTokens * 2 }
  return [
    label, members.length, layout.length, layout.filter(({ wave }) => wave === spareWave).length, describeGroups(layout, index),
    `${Math.min(...copies)} to ${Math.max(...copies)}`,
    ...[engine, roomy, fast, long, answers].map((terms) => computeBound(members, layout, terms).toFixed(0))
  ]
}

const measureFleet = ({ name, engine, members }: UnevenFleet): Array<Array<string | number>> => {
  const layout = planLayout(members, engine)
  const index = new Map(members.map((member) => [member.address, member]))
  const lose = (label: string, isLost: (member: LayoutMember) => boolean): Array<Array<string | number>> => {
    const live = members.filter((member) => !isLost(member))
    const repaired = [...coverAbsent(repairLayout(layout, live, index, engine), new Set(), index, engine)]
    const regrouped = regroupLayout(repaired, live, engine) ?? repaired
    return [
      describe(`${name}: ${label}, repaired`, live, repaired, engine), describe(`${name}: ${label}, regrouped`, live, regrouped, engine),
      describe(`${name}: ${label}, planned again`, live, planLayout(live, engine), engine)
    ]
  }
  const fast = members.filter(({ dataCentre }) => dataCentre === 'a').slice(0, 2).map(({ address }) => address)
  return [
    describe(`${name}: whole`, members, layout, engine),
    ...lose('fast pair of a lost', ({ address }) => fast.includes(address)),
    ...lose('data centre b lost', ({ dataCentre }) => dataCentre === 'b')
  ]
}

/** Measures the limits of two fleets, whole and after losses. */
export const measureLayoutLimits = (): MeasuredTable => ({
  title: 'Limits of layouts',
  note: 'Bounds are maximum flows in streams a second: as configured, with 20 times the memory for requests, with processors of twice the speed, with prompts and with answers of twice the length.',
  columns: ['fleet', 'endpoints', 'hold layers', 'spares', 'groups', 'copies of a layer', 'bound', 'memory x20', 'speed x2', 'long prompts', 'long answers'],
  rows: [...measureFleet(swingingFleet), ...measureFleet(evenFleet)]
})
