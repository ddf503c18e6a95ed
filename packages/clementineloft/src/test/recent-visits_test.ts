import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import type { CallEndpoint } from '@clementineloft/routing'
import { RecentVisits } from '../lib/forwarding/recent-visits.js'

const createEndpoint = (id: string): CallEndpoint => ({ id, bornMs: 1, address: `${id}:1`, dataCentre: 'a', service: 'model', isLeaving: false, slots: 1 })

test('a call that was moved away from an endpoint just before its end shows is still among its visitors, later it is not', () => {
  const clock = new ManualClock()
  const visits = new RecentVisits(clock)
  const [first, last, other] = [createEndpoint('first'), createEndpoint('last'), createEndpoint('other')]
  visits.record({ traits: ['call', 'part'], endpoints: [first, last], sentMs: 0 })
  clock.advance(1000)
  assert.deepEqual(visits.listAt(last).map(({ traits }) => traits), [['call', 'part']])
  assert.deepEqual(visits.listAt(other), [])
  clock.advance(500)
  assert.deepEqual(visits.listAt(last), [])
})
