import assert from 'node:assert/strict'
import { test } from 'node:test'
import { countCopies, coverAbsent, planLayout, computeHeldRate, regroupLayout, repairLayout, spareWave } from '@clementineloft/routing'
import type { LayerAssignment, LayoutMember } from '@clementineloft/routing'
import { createMemberIndex, createMembers, engine } from './fleet.js'

const members = createMembers()
const layout = planLayout(members, engine)

const computeLayoutRate = (assignments: readonly LayerAssignment[], live: readonly LayoutMember[]): number => {
  const index = createMemberIndex(live)
  const waves = [...new Set(assignments.map((assignment) => assignment.wave))].filter((wave) => wave !== spareWave)
  const rates = waves.map((wave) => computeHeldRate(
    assignments.flatMap((assignment) => assignment.wave === wave ? [{ ...assignment, member: index.get(assignment.address) as LayoutMember }] : []), engine))
  return rates.reduce((sum, rate) => sum + rate, 0)
}

const repairAfterLoss = (addresses: readonly string[]): { live: LayoutMember[], repaired: LayerAssignment[] } => {
  const live = members.filter((member) => !addresses.includes(member.address))
  const index = createMemberIndex(members)
  return { live, repaired: [...coverAbsent(repairLayout(layout, live, index, engine), new Set(), index, engine)] }
}

const lost = ['c-medium-0', 'c-small-1', 'a-small-0']

test('regroups inefficient groups after permanent losses, for a higher rate, while efficient groups keep their layers', () => {
  const { live, repaired } = repairAfterLoss(lost)
  const regrouped = regroupLayout(repaired, live, engine) as LayerAssignment[]
  assert.ok(regrouped !== undefined)
  assert.ok(computeLayoutRate(regrouped, live) > computeLayoutRate(repaired, live) * 1.15)
  const unchanged = regrouped.filter((assignment) => repaired.some((before) =>
    before.address === assignment.address && before.from === assignment.from && before.to === assignment.to))
  assert.ok(Math.min(...countCopies(unchanged, engine.layers)) >= 2, 'every layer keeps at least two copies during loading')
})

test('does not change a layout whose endpoints are all live, nor one that was just regrouped', () => {
  assert.equal(regroupLayout(layout, members, engine), undefined)
  const { live, repaired } = repairAfterLoss(lost)
  const regrouped = regroupLayout(repaired, live, engine) as LayerAssignment[]
  assert.equal(regroupLayout(regrouped, live, engine), undefined)
})

test('does not regroup when too few groups would keep serving during loading', () => {
  const localMembers = members.filter((member) => member.dataCentre === 'c')
  const localLayout = planLayout(localMembers, engine)
  const live = localMembers.filter((member) => member.address !== 'c-large-0')
  assert.equal(regroupLayout(repairLayout(localLayout, live, createMemberIndex(localMembers), engine), live, engine), undefined)
})

const listSpans = (assignments: readonly LayerAssignment[]): string[] =>
  assignments.map(({ address, from, to }) => `${address} ${from}-${to}`).sort()

test('neighbours widened to cover an endpoint release its layers when it returns, and no endpoint loads', () => {
  const index = createMemberIndex(members)
  for (const { address } of layout) {
    const widened = coverAbsent(layout, new Set([address]), index, engine)
    if (widened === layout) continue
    const narrowed = regroupLayout(widened, members, engine)
    assert.deepEqual(narrowed && listSpans(narrowed), listSpans(layout), address)
  }
})
