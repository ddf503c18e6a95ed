import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ClaimRange, MemoryStore, mergeClaims, StoreFault } from '@clementineloft/coordination'
import type { ClaimIndex } from '@clementineloft/coordination'
import { ErrorKind, getErrorKind, getErrorOutcome, ManualClock, Outcome } from '@clementineloft/kernel'

const createRange = (store: MemoryStore, clock: ManualClock, incarnation: string, retentionMs = 60_000): ClaimRange<string> =>
  new ClaimRange(store, 'claims/bookings/0', clock, { holder: `at-${incarnation}`, incarnation, retentionMs, writeIntervalMs: 0 })

test('a new owner does not grant a key that the former owner claimed', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const [first, second] = [createRange(store, clock, 'a'), createRange(store, clock, 'b')]
  assert.equal((await first.claim('k', 'f')).isGranted, true)
  const repeat = await second.claim('k', 'f')
  assert.equal(repeat.isGranted, false)
  assert.equal(repeat.entry.incarnation, 'a')
})

test('an owner that was paused during a takeover does not grant a key that the new owner granted', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const [paused, successor] = [createRange(store, clock, 'a'), createRange(store, clock, 'b')]
  await paused.claim('other', 'f')
  assert.equal((await successor.claim('k', 'f')).isGranted, true)
  assert.equal((await paused.claim('k', 'f')).isGranted, false)
})

test('concurrent claims of the same key are granted once, with one write', async () => {
  const store = new MemoryStore()
  const range = createRange(store, new ManualClock(), 'a')
  await range.claim('first', 'f')
  const writes = store.calls.put
  const results = await Promise.all(Array.from({ length: 50 }, async () => await range.claim('k', 'f')))
  assert.equal(results.filter((result) => result.isGranted).length, 1)
  assert.equal(store.calls.put - writes, 1)
})

test('a claim whose write got no answer is read back and granted', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  store.fault = StoreFault.lostAnswers
  const claim = createRange(store, clock, 'a').claim('k', 'f')
  await clock.advanceGradually(5000, 100)
  assert.equal((await claim).isGranted, true)
})

test('a claim is refused with outcome not-run while the store is down, and granted once it is back', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const range = createRange(store, clock, 'a')
  await range.claim('first', 'f')
  store.fault = StoreFault.down
  const error: unknown = await range.claim('k', 'f').catch((thrown: unknown) => thrown)
  assert.equal(getErrorKind(error), ErrorKind.storeUnavailable)
  assert.equal(getErrorOutcome(error), Outcome.notRun)
  store.fault = StoreFault.none
  assert.equal((await range.claim('k', 'f')).isGranted, true)
})

test('an answer recorded during a store outage reaches the new owner after the outage', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const [first, second] = [createRange(store, clock, 'a'), createRange(store, clock, 'b')]
  await first.claim('k', 'f')
  store.fault = StoreFault.down
  first.recordAnswer('k', 'number 7')
  await clock.advanceGradually(2000, 100)
  store.fault = StoreFault.none
  await clock.advanceGradually(2000, 100)
  assert.equal((await second.claim('k', 'f')).entry.answer, 'number 7')
})

test('a released key and an expired key can be claimed again', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const range = createRange(store, clock, 'a', 10_000)
  await range.claim('k', 'f')
  await range.release('k')
  assert.equal((await range.claim('k', 'f')).isGranted, true)
  clock.advance(11_000)
  await range.claim('other', 'f')
  assert.equal((await range.claim('k', 'f')).isGranted, true)
})

test('a full tail moves into a segment that a new owner reads', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const range = createRange(store, clock, 'a')
  for (let batch = 0; batch < 5; batch++) {
    await Promise.all(Array.from({ length: 400 }, async (_, index) => await range.claim(`k-${batch}-${index}`, 'f'.repeat(64))))
  }
  const objects = await store.list('claims/')
  assert.ok(objects.length > 1)
  assert.ok(objects.every((object) => object.value.length < 200_000))
  assert.equal((await createRange(store, clock, 'b').claim('k-0-0', 'f')).isGranted, false)
})

test('another process can claim a released key at once', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const [first, second] = [createRange(store, clock, 'a'), createRange(store, clock, 'b')]
  await first.claim('k', 'f')
  await first.release('k')
  assert.equal((await second.claim('k', 'f')).isGranted, true)
})

test('a release that cannot be written does not block its caller', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const range = createRange(store, clock, 'a')
  await range.claim('k', 'f')
  store.fault = StoreFault.down
  await range.release('k')
  assert.equal(store.fault, StoreFault.down)
})

test('a claim that fills the tail is granted although the answer to the segment write is lost', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const range = createRange(store, clock, 'a')
  await Promise.all(Array.from({ length: 400 }, async (_, index) => await range.claim(`k-${index}`, 'f'.repeat(64))))
  store.fault = StoreFault.lostAnswers
  const claim = range.claim('next', 'f')
  await clock.advanceGradually(5000, 100)
  assert.equal((await claim).isGranted, true)
})

test('claims can be released and answered after another process has taken over the range', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const [first, second] = [createRange(store, clock, 'a'), createRange(store, clock, 'b')]
  await first.claim('k', 'f')
  await second.claim('other', 'f')
  await first.claim('late', 'f').catch(() => {})
  await second.claim('another', 'f')
  first.recordAnswer('late', 'number 8')
  await clock.advanceGradually(400, 100)
  await first.release('k')
  assert.equal((await second.claim('k', 'f')).isGranted, true)
  assert.equal((await second.claim('late', 'f')).entry.answer, 'number 8')
})

test('an answer is stored within two write-behind delays although another process has taken over the range', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const [first, second] = [createRange(store, clock, 'a'), createRange(store, clock, 'b')]
  await first.claim('k', 'f')
  await second.claim('other', 'f')
  first.recordAnswer('k', 'number 7')
  await clock.advanceGradually(400, 100)
  assert.equal((await createRange(store, clock, 'c').claim('k', 'f')).entry.answer, 'number 7')
})

test('a release is retained until it is written, also when another process has changed the range', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const [first, second] = [createRange(store, clock, 'a'), createRange(store, clock, 'b')]
  await first.claim('k', 'f')
  await second.claim('other', 'f')
  await first.release('k')
  assert.equal((await createRange(store, clock, 'c').claim('k', 'f')).isGranted, true)
})

test('a release that is written late does not remove a newer claim of its key', async () => {
  const index: ClaimIndex<string> = new Map()
  const claim = { key: 'k', fingerprint: 'f', holder: 'at-a', incarnation: 'a', atMs: 1 }
  mergeClaims(index, [claim, { ...claim, isReleased: true }, { ...claim, incarnation: 'b', atMs: 2 }, { ...claim, isReleased: true }])
  assert.equal(index.get('k')?.incarnation, 'b')
})
