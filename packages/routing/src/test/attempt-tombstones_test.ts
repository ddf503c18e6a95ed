import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import { AttemptTombstones } from '../lib/attempt-tombstones.js'

test('the highest ended attempt is kept for two minutes after the last end, in any order of ends', () => {
  const clock = new ManualClock()
  const tombstones = new AttemptTombstones(clock)
  assert.equal(tombstones.getLatestEnded('r'), 0)
  tombstones.add('r', 3)
  tombstones.add('r', 2)
  assert.equal(tombstones.getLatestEnded('r'), 3)
  clock.advance(100_000)
  tombstones.add('r', 4)
  clock.advance(100_000)
  assert.equal(tombstones.getLatestEnded('r'), 4)
  clock.advance(20_000)
  assert.equal(tombstones.getLatestEnded('r'), 0)
})
