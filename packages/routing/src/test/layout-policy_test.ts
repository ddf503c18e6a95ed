import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { countCopies, LayoutPolicy } from '@clementineloft/routing'
import type { CallEndpoint, EngineConfig, LayerAssignment } from '@clementineloft/routing'
import { createEndpoints, createMembers, engine } from './fleet.js'

const seed = 20_261_204
const members = createMembers()
const endpoints = createEndpoints(members, [])
const noneSilent = new Set<string>()

const planFirstLayout = (policy: LayoutPolicy): LayerAssignment[] => {
  policy.observe(endpoints, noneSilent, engine, 0)
  return policy.decide(undefined, engine, 5000) as LayerAssignment[]
}

test('plans the first layout once no new endpoint has joined for two heartbeats', () => {
  const policy = new LayoutPolicy()
  policy.observe(endpoints.slice(0, 10), noneSilent, engine, 0)
  assert.equal(policy.decide(undefined, engine, 1000), undefined)
  policy.observe(endpoints, noneSilent, engine, 2000)
  assert.equal(policy.decide(undefined, engine, 3000), undefined)
  assert.equal(policy.decide(undefined, engine, 5000)?.length, 33)
})

test('an endpoint that briefly stops responding keeps its span while its group is widened to cover it', () => {
  const policy = new LayoutPolicy()
  const layout = planFirstLayout(policy)
  const lost = layout.find((assignment) => assignment.address.startsWith('c-medium')) as LayerAssignment
  policy.observe(endpoints, new Set([lost.address]), engine, 6000)
  const next = policy.decide(layout, engine, 6000) as LayerAssignment[]
  const own = next.find((assignment) => assignment.address === lost.address)
  assert.deepEqual([own?.from, own?.to], [lost.from, lost.to])
  const others = next.filter((assignment) => assignment.wave === lost.wave && assignment.address !== lost.address)
  assert.ok(Math.min(...countCopies(others, engine.layers)) >= 1)
  policy.observe(endpoints, noneSilent, engine, 8000)
  assert.equal(policy.decide(next, engine, 8000), undefined)
})

test('an endpoint that leaves or stays absent loses its span', () => {
  const policy = new LayoutPolicy()
  const layout = planFirstLayout(policy)
  const [first, second] = layout as [LayerAssignment, LayerAssignment]
  const left = endpoints
    .filter((endpoint) => endpoint.address !== second.address)
    .map((endpoint) => endpoint.address === first.address ? { ...endpoint, isLeaving: true } : endpoint)
  for (let nowMs = 6000; nowMs <= 16_000; nowMs += 500) policy.observe(left, noneSilent, engine, nowMs)
  const next = policy.decide(layout, engine, 16_000) as LayerAssignment[]
  assert.ok(next.every((assignment) => assignment.address !== first.address && assignment.address !== second.address))
})

test('a decision made shortly after an observation does not treat the observed endpoints as absent', () => {
  const policy = new LayoutPolicy()
  const layout = planFirstLayout(policy)
  const departed = layout.find((assignment) => assignment.address.startsWith('a-small')) as LayerAssignment
  const left = endpoints.map((endpoint) => endpoint.address === departed.address ? { ...endpoint, isLeaving: true } : endpoint)
  policy.observe(left, noneSilent, engine, 6000)
  const next = policy.decide(layout, engine, 6000.4) as LayerAssignment[]
  const group = next.filter((assignment) => assignment.wave === departed.wave)
  assert.ok(Math.min(...countCopies(group, engine.layers)) >= 1, 'the spans of the neighbours cover the endpoint that leaves')
})

/** Runs a policy every 500 ms from 6 s to 12 s. @returns times at which it changed the layout, in milliseconds */
const listChanges = (
  policy: LayoutPolicy,
  layout: readonly LayerAssignment[],
  list: readonly CallEndpoint[],
  silent: ReadonlySet<string> = noneSilent,
  terms: EngineConfig = engine
): number[] => {
  let present = layout
  const changes: number[] = []
  for (let nowMs = 6000; nowMs <= 12_000; nowMs += 500) {
    policy.observe(list, silent, terms, nowMs)
    const next = policy.decide(present, terms, nowMs)
    if (next === undefined) continue
    present = next
    changes.push(nowMs)
  }
  return changes
}

const lost = new Set(['c-medium-0', 'c-small-1', 'a-small-0'])

const markLost = (list: readonly CallEndpoint[]): CallEndpoint[] =>
  list.map((endpoint) => lost.has(endpoint.address) ? { ...endpoint, isLeaving: true } : endpoint)

test('regroups when endpoints are lost permanently and no replacement has joined within two heartbeats', () => {
  const policy = new LayoutPolicy()
  const layout = planFirstLayout(policy)
  assert.deepEqual(listChanges(policy, layout, markLost(endpoints)), [6000, 8500], 'repaired at once, regrouped after 2.5 s without a change')
})

test('does not regroup while an endpoint does not respond', () => {
  const policy = new LayoutPolicy()
  const layout = planFirstLayout(policy)
  const silent = new Set([layout.find((assignment) => assignment.address.startsWith('c-medium'))?.address as string])
  policy.observe(endpoints, noneSilent, engine, 5500)
  assert.deepEqual(listChanges(policy, layout, endpoints, silent), [6000])
})

test('an endpoint too small for any layer does not prevent regrouping', () => {
  const policy = new LayoutPolicy()
  const terms = { ...engine, types: [...engine.types, { name: 'tiny', memoryMb: 1000, stepFactor: 16, readFactor: 8 }] }
  const list = [...endpoints, { ...endpoints[0] as CallEndpoint, id: 'a-tiny', address: 'a-tiny', type: 'tiny' }]
  policy.observe(list, noneSilent, terms, 0)
  const layout = policy.decide(undefined, terms, 5000) as LayerAssignment[]
  assert.deepEqual(listChanges(policy, layout, markLost(list), noneSilent, terms), [6000, 8500])
})

// While the store is down, entries of the list expire. A lease holder that starts afterwards lists only those that have been
// written again; the others follow within about two seconds of the store's return.
test('a new holder that lists only part of the endpoints changes no layout until the others could be listed again', () => {
  const layout = planFirstLayout(new LayoutPolicy())
  for (const listed of [0, 1, 19, 32]) {
    const policy = new LayoutPolicy()
    for (let nowMs = 0; nowMs < 2500; nowMs += 400) {
      policy.observe(endpoints.slice(0, listed), noneSilent, engine, nowMs)
      assert.equal(policy.decide(layout, engine, nowMs), undefined, `${listed} endpoints are listed after ${nowMs} ms`)
    }
    policy.observe(endpoints, noneSilent, engine, 2500)
    assert.equal(policy.decide(layout, engine, 2500), undefined)
  }
})

test('a new holder covers endpoints that are not listed within two heartbeats, and those that do not respond at once', () => {
  const layout = planFirstLayout(new LayoutPolicy())
  const missing = layout.find((assignment) => assignment.address.startsWith('c-medium')) as LayerAssignment
  const listed = endpoints.filter((endpoint) => endpoint.address !== missing.address)
  const late = new LayoutPolicy()
  late.observe(listed, noneSilent, engine, 0)
  assert.equal(late.decide(layout, engine, 2400), undefined)
  late.observe(listed, noneSilent, engine, 2500)
  assert.notEqual(late.decide(layout, engine, 2500), undefined)
  const silent = new LayoutPolicy()
  silent.observe(endpoints, noneSilent, engine, 0)
  silent.observe(endpoints, new Set([missing.address]), engine, 400)
  const next = silent.decide(layout, engine, 400) as LayerAssignment[]
  const group = next.filter((assignment) => assignment.wave === missing.wave && assignment.address !== missing.address)
  assert.ok(Math.min(...countCopies(group, engine.layers)) >= 1)
})

test(`no sequence of partial lists within two heartbeats changes the layout of a new holder (seed ${seed})`, () => {
  const layout = planFirstLayout(new LayoutPolicy())
  const lists = fc.array(fc.array(fc.nat(endpoints.length - 1), { maxLength: 40 }), { minLength: 1, maxLength: 6 })
  fc.assert(fc.property(lists, (sequence) => {
    const policy = new LayoutPolicy()
    for (const [index, places] of sequence.entries()) {
      policy.observe(places.map((place) => endpoints[place] as CallEndpoint), noneSilent, engine, index * 400)
      assert.equal(policy.decide(layout, engine, index * 400), undefined)
    }
    policy.observe(endpoints, noneSilent, engine, 2500)
    assert.equal(policy.decide(layout, engine, 2500), undefined)
  }), { seed, numRuns: 200 })
})
