/**
 * Guards against running streams that are started again elsewhere because an endpoint is slow to answer its sidecar, while
 * it still advances them.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import type { CallEndpoint, PathPart } from '@clementineloft/routing'
import { CallDirectory } from '../lib/forwarding/call-directory.js'
import type { ForwardingContext } from '../lib/forwarding/forwarding-context.js'
import { StreamFailover } from '../lib/forwarding/stream-failover.js'

const createEndpoint = (id: string): CallEndpoint => ({
  id, bornMs: 1, address: id, dataCentre: 'a', service: 's', isLeaving: false, slots: 5, type: 't', layers: { from: 0, to: 8 }
})
const first = createEndpoint('first')
const parts: PathPart[] = [{ endpoint: first, from: 0, to: 4 }, { endpoint: createEndpoint('second'), from: 4, to: 8 }]

const createStream = (): { clock: ManualClock, directory: CallDirectory, failover: StreamFailover, abandoned: string[] } => {
  const clock = new ManualClock()
  const directory = new CallDirectory(clock)
  const abandoned: string[] = []
  const failover = new StreamFailover({ clock, directory } as unknown as ForwardingContext, {
    id: 'call',
    service: 's',
    getPlacement: () => ({ endpoint: first, parts }),
    getLastProgressMs: () => clock.now(),
    changeParts: () => {},
    abandonPath: (reason) => { abandoned.push(reason) },
    record: () => {}
  })
  return { clock, directory, failover, abandoned }
}

test('an endpoint that does not answer its sidecar keeps its streams while it advances them, and loses them once it does not', () => {
  const { clock, directory, failover, abandoned } = createStream()
  directory.applyEndpoints([first])
  directory.progress.record(parts)
  directory.applyReport(first.address, undefined, 2)
  failover.handleSilentEndpoint(first)
  for (let event = 0; event < 20; event++) {
    clock.advance(40)
    directory.progress.record(parts)
  }
  assert.deepEqual(abandoned, [])
  clock.advance(200)
  assert.equal(abandoned.length, 1)
})

test('an endpoint that answers its sidecar again keeps its streams', () => {
  const { clock, directory, failover, abandoned } = createStream()
  directory.applyEndpoints([first])
  directory.progress.record(parts)
  directory.applyReport(first.address, undefined, 2)
  failover.handleSilentEndpoint(first)
  directory.applyReport(first.address, { bornMs: 1, active: 1, queued: 0, usedTokenLayers: 0, totalTokenLayers: 1, pace: 1 }, 2)
  clock.advance(1000)
  assert.deepEqual(abandoned, [])
})

test('a stream whose endpoints are not reported on for seconds is not stalled while its events arrive', () => {
  const { clock, directory, failover, abandoned } = createStream()
  for (let event = 0; event < 100; event++) {
    clock.advance(50)
    directory.progress.record(parts)
    assert.equal(failover.isStalled(clock.now()), false)
  }
  assert.deepEqual(abandoned, [])
})
