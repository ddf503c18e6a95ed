import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import { TimedLease } from '@clementineloft/coordination'
import { ScriptedStore } from './scripted-store.js'

const termMs = 4000

/** Creates the leases of two processes that compete for one object. */
const createLeases = (): { store: ScriptedStore, clock: ManualClock, first: TimedLease, second: TimedLease } => {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  const createLease = (holder: string): TimedLease => new TimedLease(store, 'l', 'x', holder, termMs, clock)
  return { store, clock, first: createLease('first'), second: createLease('second') }
}

test('another process takes a lease only after it was not renewed for a whole term', async () => {
  const { clock, first, second } = createLeases()
  assert.equal(await first.renewOrAcquire(), true)
  for (let round = 0; round < 5; round++) {
    clock.advance(1200)
    assert.equal(await first.renewOrAcquire(), true)
    assert.equal(await second.renewOrAcquire(), false)
  }
  clock.advance(termMs - 100)
  assert.equal(await second.renewOrAcquire(), false)
  assert.equal(first.isHeld(), false, 'a holder that was paused does not treat the lease as held')
  clock.advance(termMs)
  assert.equal(await second.renewOrAcquire(), true)
  assert.equal(await first.renewOrAcquire(), false)
  assert.equal(second.isHeld(), true)
})

test('a holder whose renewal got no answer finds the renewal by reading the object back', async () => {
  const { store, first } = createLeases()
  await first.renewOrAcquire()
  store.put('x', { holder: 'first', renewals: 99 })
  assert.equal(await first.renewOrAcquire(), true)
  assert.equal(first.isHeld(), true)
})

test('a released lease is taken without waiting for its term, and its former holder does not renew it', async () => {
  const { clock, first, second } = createLeases()
  await first.renewOrAcquire()
  assert.equal(await second.renewOrAcquire(), false)
  await first.release()
  assert.equal(first.isHeld(), false)
  clock.advance(100)
  assert.equal(await second.renewOrAcquire(), true)
  assert.equal(await first.renewOrAcquire(), false)
})

test('releasing a lease that another process has taken fails and leaves it with that process', async () => {
  const { clock, first, second } = createLeases()
  await first.renewOrAcquire()
  await second.renewOrAcquire()
  clock.advance(termMs)
  assert.equal(await second.renewOrAcquire(), true)
  await assert.rejects(first.release())
  assert.equal(second.isHeld(), true)
  assert.equal(await second.renewOrAcquire(), true)
})
