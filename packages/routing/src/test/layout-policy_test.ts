import assert from 'node:assert/strict'
import { test } from 'node:test'
import { countCopies, LayoutPolicy } from '@clementineloft/routing'
import type { CallEndpoint, EngineTerms, LayerAssignment } from '@clementineloft/routing'
import { createEndpoints, createMembers, engine } from './fleet.js'

const members = createMembers()
const endpoints = createEndpoints(members, [])
const none = new Set<string>()

const settle = (policy: LayoutPolicy): LayerAssignment[] => {
  policy.observe(endpoints, none, engine, 0)
  return policy.decide(undefined, engine, 5000) as LayerAssignment[]
}

test('the first layout waits until no new endpoint has come for two heartbeats', () => {
  const policy = new LayoutPolicy()
  policy.observe(endpoints.slice(0, 10), none, engine, 0)
  assert.equal(policy.decide(undefined, engine, 1000), undefined)
  policy.observe(endpoints, none, engine, 2000)
  assert.equal(policy.decide(undefined, engine, 3000), undefined)
  assert.equal(policy.decide(undefined, engine, 5000)?.length, 33)
})

test('an endpoint that is silent for a moment keeps its span while its group widens over it', () => {
  const policy = new LayoutPolicy()
  const layout = settle(policy)
  const lost = layout.find((assignment) => assignment.address.startsWith('c-medium')) as LayerAssignment
  policy.observe(endpoints, new Set([lost.address]), engine, 6000)
  const next = policy.decide(layout, engine, 6000) as LayerAssignment[]
  const own = next.find((assignment) => assignment.address === lost.address)
  assert.deepEqual([own?.from, own?.to], [lost.from, lost.to])
  const others = next.filter((assignment) => assignment.wave === lost.wave && assignment.address !== lost.address)
  assert.ok(Math.min(...countCopies(others, engine.layers)) >= 1)
  policy.observe(endpoints, none, engine, 8000)
  assert.equal(policy.decide(next, engine, 8000), undefined)
})

test('an endpoint that leaves or stays away loses its span', () => {
  const policy = new LayoutPolicy()
  const layout = settle(policy)
  const [first, second] = layout as [LayerAssignment, LayerAssignment]
  const left = endpoints
    .filter((endpoint) => endpoint.address !== second.address)
    .map((endpoint) => endpoint.address === first.address ? { ...endpoint, isLeaving: true } : endpoint)
  for (let nowMs = 6000; nowMs <= 16_000; nowMs += 500) policy.observe(left, none, engine, nowMs)
  const next = policy.decide(layout, engine, 16_000) as LayerAssignment[]
  assert.ok(next.every((assignment) => assignment.address !== first.address && assignment.address !== second.address))
})

test('a decision a moment after the look at the endpoints takes none of them for absent', () => {
  const policy = new LayoutPolicy()
  const layout = settle(policy)
  const gone = layout.find((assignment) => assignment.address.startsWith('a-small')) as LayerAssignment
  const left = endpoints.map((endpoint) => endpoint.address === gone.address ? { ...endpoint, isLeaving: true } : endpoint)
  policy.observe(left, none, engine, 6000)
  const next = policy.decide(layout, engine, 6000.4) as LayerAssignment[]
  const group = next.filter((assignment) => assignment.wave === gone.wave)
  assert.ok(Math.min(...countCopies(group, engine.layers)) >= 1, 'the neighbours widen over the endpoint that leaves')
})

/** Lets a policy decide twice a second from second 6 to 12. @returns when it changed the layout, in milliseconds */
const listChanges = (
  policy: LayoutPolicy,
  layout: readonly LayerAssignment[],
  list: readonly CallEndpoint[],
  silent: ReadonlySet<string> = none,
  terms: EngineTerms = engine
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

test('groups are formed anew when endpoints are lost for good and no replacement has come within two heartbeats', () => {
  const policy = new LayoutPolicy()
  const layout = settle(policy)
  assert.deepEqual(listChanges(policy, layout, markLost(endpoints)), [6000, 8500], 'repaired at once, cut anew when nothing has changed for 2.5 s')
})

test('groups stay as they are while an endpoint does not answer', () => {
  const policy = new LayoutPolicy()
  const layout = settle(policy)
  const silent = new Set([layout.find((assignment) => assignment.address.startsWith('c-medium'))?.address as string])
  policy.observe(endpoints, none, engine, 5500)
  assert.deepEqual(listChanges(policy, layout, endpoints, silent), [6000])
})

test('an endpoint too small for any layer does not keep groups from being formed anew', () => {
  const policy = new LayoutPolicy()
  const terms = { ...engine, types: [...engine.types, { name: 'tiny', memoryMb: 1000, stepFactor: 16, readFactor: 8 }] }
  const list = [...endpoints, { ...endpoints[0] as CallEndpoint, id: 'a-tiny', address: 'a-tiny', type: 'tiny' }]
  policy.observe(list, none, terms, 0)
  const layout = policy.decide(undefined, terms, 5000) as LayerAssignment[]
  assert.deepEqual(listChanges(policy, layout, markLost(list), none, terms), [6000, 8500])
})
