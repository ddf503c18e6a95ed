import assert from 'node:assert/strict'
import { test } from 'node:test'
import { compareTimestamps, HybridClock, ManualClock } from '@clementineloft/kernel'

test('an event sorts after its cause even if the clock of its process is behind', () => {
  const ahead = new ManualClock()
  ahead.advance(5000)
  const sender = new HybridClock(ahead)
  const receiver = new HybridClock(new ManualClock())
  const cause = sender.issue()
  receiver.merge(cause)
  assert.ok(compareTimestamps(receiver.issue(), cause) > 0)
})

test('timestamps of one process are unique and increasing', () => {
  const clock = new HybridClock(new ManualClock())
  assert.ok(compareTimestamps(clock.issue(), clock.issue()) < 0)
})
