import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CallEndpoint, PathPart } from '@clementineloft/routing'
import { engine } from '@clementineloft/routing/test-fleet'
import { computeFlowBound } from '../replay/flow-bound.js'
import { createCostPlacing, createFleet, createMixedFleet, createOwnPlacing, widenOverLost } from '../replay/mixed-fleet.js'
import { RandomPlacing } from '../replay/placing-policy.js'
import { ReplayedFleet } from '../replay/replayed-fleet.js'
import { ReplayRun } from '../replay/replay-run.js'
import { RefuseAtOnce, WaitShortly } from '../replay/turning-away.js'

const { endpoints, bound } = createMixedFleet()
const whole: CallEndpoint = {
  id: 'w', bornMs: 1, address: 'w', dataCentre: 'a', service: 'model', isLeaving: false, slots: 2, type: 'large', layers: { from: 0, to: 30 }
}
const small = { ...engine, layers: 30, slots: 2 }
const path: PathPart[] = [{ endpoint: whole, from: 0, to: 30 }]
const size = { promptTokens: 1050, answerTokens: 100 }

test('a lone stream reads its prompt, then takes a step for each token', () => {
  const fleet = new ReplayedFleet([whole], small)
  fleet.start(path, size)
  // 1050 tokens at 105 a millisecond, 3.2 times slower, one tenth more for a batch of one; 2.4 times 1.03 ms for a token.
  const wholeMs = 10 * 3.2 * 1.1 + 100 * 2.4 * 1.03
  assert.deepEqual(fleet.advance(wholeMs - 1), [])
  assert.equal(fleet.advance(2).length, 1)
  assert.deepEqual(fleet.report('w')?.active, 0)
})

test('a stream beyond the slots of its first endpoint waits there, and goes on when another leaves', () => {
  const fleet = new ReplayedFleet([whole], small)
  const streams = [1, 2, 3].map(() => fleet.start(path, size))
  fleet.advance(10)
  assert.deepEqual([fleet.report('w')?.active, fleet.report('w')?.queued], [2, 1])
  fleet.stop(streams[0] as NonNullable<typeof streams[0]>)
  fleet.advance(10)
  assert.deepEqual([fleet.report('w')?.active, fleet.report('w')?.queued], [2, 0])
})

test('a lost endpoint cuts its streams and takes no others', () => {
  const fleet = new ReplayedFleet([whole], small)
  const stream = fleet.start(path, size)
  assert.deepEqual(fleet.lose(new Set(['w'])), [stream])
  assert.equal(fleet.start(path, size), undefined)
  assert.equal(fleet.report('w'), undefined)
})

test('the bound grows with the fleet in proportion, and is nothing where a layer is missing', () => {
  const twice = [...endpoints, ...endpoints.map((endpoint) => ({ ...endpoint, id: `${endpoint.id} again` }))]
  const ratio = computeFlowBound(twice, engine) / bound
  assert.ok(ratio > 1.9 && ratio < 2.1, `${ratio}`)
  assert.ok(computeFlowBound(endpoints.filter(({ layers }) => (layers?.from ?? 0) > 0), engine) < 0.1)
})

test('at a fifth of the bound the router serves all streams in time, random paths do not', () => {
  const rate = 0.2 * bound
  const load = { seconds: 8, getRate: () => rate, teams: ['one'] }
  const turning = new WaitShortly()
  const ours = new ReplayRun(endpoints, engine, load, { createPlacing: createOwnPlacing, turning }, 3).run()
  const random = new ReplayRun(endpoints, engine, load, { createPlacing: (_dataCentre, _clock, source) => new RandomPlacing(engine.layers, source), turning }, 3).run()
  assert.ok(ours.inTime >= 0.99 * ours.arrived, `${ours.inTime} of ${ours.arrived}`)
  assert.ok(random.inTime < 0.8 * random.arrived, `${random.inTime} of ${random.arrived}`)
})

test('in a burst fewer callers go unserved than where they are refused and come back at once', () => {
  const load = { seconds: 12, getRate: (second: number) => bound * (second < 4 || second > 10 ? 0.25 : 0.43), teams: ['one'] }
  const count = (turning: WaitShortly | RefuseAtOnce): number => {
    const { served, arrived } = new ReplayRun(endpoints, engine, load, { createPlacing: createOwnPlacing, turning }, 3).run()
    return arrived - served
  }
  assert.ok(count(new WaitShortly()) < count(new RefuseAtOnce()) / 2)
})

test('dozens of entries seldom send streams to endpoints that have no room left', () => {
  const { members, layout } = widenOverLost(new Set(['c-medium-0', 'c-small-1', 'a-small-0', 'b-medium-1']))
  const entries = 44
  const load = { seconds: 20, getRate: () => 70, teams: ['one'], entries }
  const { sent, crowded, inTime, arrived } = new ReplayRun(
    createFleet(members, layout).endpoints, engine, load, { createPlacing: createCostPlacing(entries), turning: new WaitShortly() }, 7).run()
  assert.ok(crowded < 0.02 * sent, `${crowded} of ${sent}`)
  assert.ok(inTime > 0.99 * arrived, `${inTime} of ${arrived}`)
})
