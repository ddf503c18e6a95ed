import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SendingRate } from '@clementineloft/routing'

test('an entry that sends at a steady rate is expected to continue at that rate', () => {
  const rate = new SendingRate()
  let nowMs = 0
  for (; nowMs < 20_000; nowMs += 500) rate.record(1000, nowMs)
  const { requests, tokenLayers } = rate.estimate(5000, nowMs)
  assert.ok(requests > 8 && requests < 11, `${requests} of 10`)
  assert.ok(Math.abs(tokenLayers - requests * 1000) < 1)
})

test('the expected rate of an entry that has stopped soon falls to zero', () => {
  const rate = new SendingRate()
  for (let nowMs = 0; nowMs < 5000; nowMs += 100) rate.record(1000, nowMs)
  assert.ok(rate.estimate(1000, 15_000).requests < 0.1)
})

test('an entry that has sent nothing is expected to send nothing', () => {
  assert.deepEqual(new SendingRate().estimate(1000, 0), { requests: 0, tokenLayers: 0 })
})
