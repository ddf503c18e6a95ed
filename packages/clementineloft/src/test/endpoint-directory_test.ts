import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Membership } from '@clementineloft/coordination'
import { ManualClock } from '@clementineloft/kernel'
import type { ConfigDocument } from '../lib/operators/config-document.js'
import { EndpointDirectory } from '../lib/endpoints/endpoint-directory.js'

const names = Array.from({ length: 40 }, (_, index) => `e${index}`)

const createDocument = (): ConfigDocument => ({
  teams: {},
  models: { m: { layers: 2 } },
  endpoints: Object.fromEntries(names.map((name, index) =>
    [name, { state: 'serving' as const, dataCentre: 'd', model: 'm', firstLayer: index % 2, lastLayer: index % 2, tokensPerSecond: 100 }])),
  services: { s: { idempotentMethods: [], keyRanges: 4 } },
  links: []
})

const createDirectory = (owner: string, document = createDocument()) => {
  const clock = new ManualClock()
  const membership = new Membership()
  const instances = [...names, 'w1', 'w2'].map((name) => ({ name, role: 'sidecar' as const, address: name, dataCentre: 'd', state: 'live' as const }))
  membership.apply({ version: '1', instances })
  const directory = new EndpointDirectory(owner, 8, membership, clock)
  directory.applyConfig(document)
  return { clock, membership, directory }
}

test('an entry uses a bounded subset of the endpoints of each layer range, and two entries choose different subsets', () => {
  const [first, second] = [createDirectory('entry-1'), createDirectory('entry-2')]
  const listSubset = (directory: EndpointDirectory): string[] => names.filter((name) => directory.isInSubset(name))
  assert.equal(listSubset(first.directory).length, 16)
  assert.notDeepEqual(listSubset(first.directory), listSubset(second.directory))
})

test('a failed endpoint is avoided until its cooldown ends or its process restarts', () => {
  const { clock, membership, directory } = createDirectory('entry-1')
  membership.recordIncarnation('e0', 'a')
  directory.avoid('e0')
  assert.equal(directory.isAvoided('e0'), true)
  membership.recordIncarnation('e0', 'b')
  assert.equal(directory.isAvoided('e0'), false)
  directory.avoid('e0')
  clock.advance(3001)
  assert.equal(directory.isAvoided('e0'), false)
})

test('avoided endpoints of a service are returned if there are no others; leaving endpoints never are', () => {
  const document = createDocument()
  for (const name of ['w1', 'w2']) document.endpoints[name] = { state: 'serving', dataCentre: 'd', service: 's' }
  const { membership, directory } = createDirectory('entry-1', document)
  directory.avoid('w1')
  assert.deepEqual(directory.findService('s')?.map((endpoint) => endpoint.name), ['w2'])
  directory.avoid('w2')
  assert.equal(directory.findService('s')?.length, 2)
  membership.recordIncarnation('w1', 'a')
  membership.recordLeaving('w1', 'a')
  assert.deepEqual(directory.findService('s')?.map((endpoint) => endpoint.name), ['w2'])
})
