import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Membership } from '@clementineloft/coordination'
import type { Instance } from '@clementineloft/coordination'

const createListing = (version: string, state: Instance['state']) => ({
  version, instances: [{ name: 'w', role: 'sidecar' as const, address: '127.0.0.1:1', dataCentre: 'd', state }]
})

test('an instance that reported that it is leaving stays leaving although a stale list shows it as live', () => {
  const membership = new Membership()
  membership.apply(createListing('1', 'live'))
  membership.recordIncarnation('w', 'a')
  membership.recordLeaving('w', 'a')
  membership.apply(createListing('2', 'live'))
  assert.equal(membership.isServing('w'), false)
})

test('a new process under the same name serves, and listeners are notified of the restart', () => {
  const membership = new Membership()
  const restarted: string[] = []
  membership.subscribeRestarts((name) => { restarted.push(name) })
  membership.apply(createListing('1', 'live'))
  membership.recordIncarnation('w', 'a')
  membership.recordLeaving('w', 'a')
  membership.recordIncarnation('w', 'b')
  assert.equal(membership.isServing('w'), true)
  assert.deepEqual(restarted, ['w'])
})
