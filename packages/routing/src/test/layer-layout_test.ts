import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeMaxLayers, countCopies, coverAbsent, planLayout, repairLayout, spareWave } from '@clementineloft/routing'
import { createMembers, engine, createMemberIndex } from './fleet.js'

const getSpan = (assignments: ReturnType<typeof planLayout>, address: string): string => {
  const own = assignments.find((assignment) => assignment.address === address)
  return own === undefined ? 'none' : `${own.from}-${own.to}`
}

test('every data centre holds all layers, and no endpoint more than fit into its memory', () => {
  const members = createMembers()
  const layout = planLayout(members, engine)
  for (const dataCentre of ['a', 'b', 'c']) {
    const local = layout.filter((assignment) => assignment.address.startsWith(dataCentre))
    assert.ok(Math.min(...countCopies(local, engine.layers)) >= 1, `data centre ${dataCentre}`)
  }
  for (const { address, from, to } of layout) {
    const { type } = createMemberIndex(members).get(address) as ReturnType<typeof createMembers>[number]
    assert.ok(to - from <= computeMaxLayers(type, engine, 1500), address)
  }
})

test('the spans of a group are contiguous and do not overlap', () => {
  const layout = planLayout(createMembers(), engine)
  for (const wave of new Set(layout.map((assignment) => assignment.wave))) {
    if (wave === spareWave) continue
    const copies = countCopies(layout.filter((assignment) => assignment.wave === wave), engine.layers)
    assert.deepEqual(new Set(copies), new Set([1]))
  }
})

test('in a fleet too small for the model, no endpoint is assigned more layers than it can hold', () => {
  const members = createMembers().slice(0, 1)
  const layout = planLayout(members, engine)
  assert.ok(layout.every(({ from, to }) => to - from <= computeMaxLayers(members[0]?.type ?? engine.types[0] as never, engine, 1500)))
})

test('after a loss only empty endpoints load layers, and one of the same type takes over the span', () => {
  const members = createMembers()
  const layout = planLayout(members, engine)
  const newcomer = { ...members[5] as typeof members[number], address: 'a-medium-new' }
  const lost = members.find((member) => member.type.name === newcomer.type.name && member.dataCentre === 'a') as typeof members[number]
  const live = [...members.filter((member) => member !== lost), { ...newcomer, dataCentre: 'a' }]
  const repaired = repairLayout(layout, live, createMemberIndex([...members, newcomer]), engine)
  for (const member of members) {
    if (member !== lost) assert.equal(getSpan(repaired, member.address), getSpan(layout, member.address))
  }
  assert.equal(getSpan(repaired, 'a-medium-new'), getSpan(layout, lost.address))
})

test('neighbours are widened to cover an endpoint that does not respond, which keeps its own span', () => {
  const members = createMembers()
  const layout = planLayout(members, engine)
  const absent = layout.find((assignment) => assignment.address.startsWith('c-medium')) as typeof layout[number]
  const covered = coverAbsent(layout, new Set([absent.address]), createMemberIndex(members), engine)
  const present = covered.filter((assignment) => assignment.wave === absent.wave && assignment.address !== absent.address)
  assert.ok(Math.min(...countCopies(present, engine.layers)) >= 1)
  assert.equal(getSpan([...covered], absent.address), getSpan(layout, absent.address))
  for (const before of layout) {
    const after = covered.find((assignment) => assignment.address === before.address) as typeof before
    assert.ok(after.from <= before.from && after.to >= before.to, 'no endpoint releases layers')
  }
})

test('does not change a layout without absent endpoints', () => {
  const members = createMembers()
  const layout = planLayout(members, engine)
  assert.equal(coverAbsent(layout, new Set(), createMemberIndex(members), engine), layout)
})

test('an empty endpoint never takes over a span that exceeds its memory, even if the former holder is unknown', () => {
  const members = createMembers()
  const layout = planLayout(members, engine)
  const lost = layout.find((assignment) => assignment.address.startsWith('a-large')) as typeof layout[number]
  const newcomer = { ...members.find((member) => member.type.name === 'small') as typeof members[number], address: 'a-small-new' }
  const live = [...members.filter((member) => member.address !== lost.address), newcomer]
  const repaired = repairLayout(layout, live, createMemberIndex(live), engine)
  for (const { address, from, to } of repaired) {
    const { type } = createMemberIndex(live).get(address) as typeof newcomer
    assert.ok(to - from <= computeMaxLayers(type, engine, 1500), `${address} gets ${to - from} layers`)
  }
})
