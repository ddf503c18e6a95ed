import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import { Freshness, KindReplica } from '@clementineloft/coordination'
import { ScriptedStore } from './scripted-store.js'

const options = { waitMs: 1000, shortestPauseMs: 100, longestPauseMs: 400, coalesceMs: 50, freshness: Freshness.stale, relistDelayMs: 300, deferRemovalsMs: 1800 }

const follow = (store: ScriptedStore, clock: ManualClock): KindReplica => {
  const replica = new KindReplica(store, 'k', clock, new SeededRandom(1), options, { handleChange: () => {}, handleConnection: () => {} })
  void replica.follow()
  return replica
}

const listNames = (replica: KindReplica): string[] => replica.list().map((object) => object.name).sort()

test('the replica lists all pages and then applies later changes', async () => {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  for (const name of ['a', 'b', 'c', 'd', 'e']) store.put(name, {})
  const replica = follow(store, clock)
  await clock.advanceGradually(100, 10)
  assert.deepEqual(listNames(replica), ['a', 'b', 'c', 'd', 'e'])
  store.remove('b')
  store.put('f', {})
  await clock.advanceGradually(100, 10)
  assert.deepEqual(listNames(replica), ['a', 'c', 'd', 'e', 'f'])
  replica.stop()
})

test('changes in quick succession are batched into few watch answers', async () => {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  const replica = follow(store, clock)
  await clock.advanceGradually(100, 10)
  const calls = store.watchCount
  for (let change = 0; change < 20; change++) {
    store.put(`${change}`, {})
    await clock.advanceGradually(10, 10)
  }
  await clock.advanceGradually(100, 10)
  assert.equal(replica.list().length, 20)
  assert.ok(store.watchCount - calls <= 6, `${store.watchCount - calls} watches for 20 changes in 200 ms`)
  replica.stop()
})

test('a replica whose watch misses changes lists again when its checksum differs from that of another process', async () => {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  store.put('a', {})
  const behind = follow(store, clock)
  await clock.advanceGradually(100, 10)
  store.areNotificationsDropped = true
  store.put('b', {})
  const latest = follow(store, clock)
  await clock.advanceGradually(100, 10)
  assert.deepEqual([listNames(behind), listNames(latest)], [['a'], ['a', 'b']])
  behind.compareChecksum(latest.computeChecksum())
  await clock.advanceGradually(200, 10)
  assert.deepEqual(listNames(behind), ['a'], 'the kind is not listed again before a stale watch has had time to catch up')
  await clock.advanceGradually(200, 10)
  assert.deepEqual(listNames(behind), ['a', 'b'])
  const { listCount: initialListCount } = store
  behind.compareChecksum(latest.computeChecksum() + 1)
  behind.compareChecksum(latest.computeChecksum() + 1)
  await clock.advanceGradually(1000, 10)
  assert.equal(store.listCount - initialListCount, 1, 'each checksum of the other replica leads to at most one list')
})

test('a watch that is never answered is restarted after a list has shown that the store answers', async () => {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  store.put('a', {})
  const replica = follow(store, clock)
  await clock.advanceGradually(100, 10)
  store.dropWatches()
  store.put('b', {})
  replica.compareChecksum([...store.objects.values()].reduce((sum, object) => sum + object.revision, 0))
  await clock.advanceGradually(400, 10)
  assert.deepEqual(listNames(replica), ['a', 'b'], 'the different checksum leads to a list')
  store.put('c', {})
  await clock.advanceGradually(50, 10)
  assert.deepEqual(listNames(replica), ['a', 'b', 'c'], 'the next change arrives through a new watch')
  replica.stop()
})

test('no object is removed while the store is down, and removals are deferred so that expired objects can be written again', async () => {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  for (const name of ['back', 'gone']) store.put(name, {})
  const replica = follow(store, clock)
  await clock.advanceGradually(100, 10)
  store.isDown = true
  store.signal()
  store.remove('back')
  store.remove('gone')
  await clock.advanceGradually(5000, 50)
  assert.deepEqual(listNames(replica), ['back', 'gone'])
  store.isDown = false
  await clock.advanceGradually(1000, 50)
  assert.deepEqual(listNames(replica), ['back', 'gone'])
  store.put('back', {})
  await clock.advanceGradually(2500, 50)
  assert.deepEqual(listNames(replica), ['back'])
  replica.stop()
})

test('many objects that one answer removes are kept until they could be written again, a few are removed at once', async () => {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  const names = Array.from({ length: 20 }, (_, index) => `e${10 + index}`)
  for (const name of names) store.put(name, {})
  const replica = follow(store, clock)
  await clock.advanceGradually(200, 10)
  store.areNotificationsDropped = true
  for (const name of names.slice(0, 12)) store.remove(name)
  store.areNotificationsDropped = false
  store.signal()
  await clock.advanceGradually(1000, 50)
  assert.deepEqual(listNames(replica), names)
  for (const name of names.slice(0, 11)) store.put(name, {})
  await clock.advanceGradually(1500, 50)
  assert.deepEqual(listNames(replica), names.filter((name) => name !== 'e21'))
  store.remove('e10')
  store.remove('e11')
  await clock.advanceGradually(100, 10)
  assert.deepEqual(listNames(replica), names.slice(2).filter((name) => name !== 'e21'))
  replica.stop()
})

test('when the store no longer retains the history, the kind is listed again and missing objects are removed', async () => {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  for (const name of ['a', 'b']) store.put(name, {})
  const replica = follow(store, clock)
  await clock.advanceGradually(100, 10)
  store.hasHistory = false
  store.objects.delete('a')
  store.put('c', {})
  await clock.advanceGradually(500, 10)
  store.hasHistory = false
  store.put('d', {})
  await clock.advanceGradually(500, 10)
  assert.deepEqual(listNames(replica), ['b', 'c', 'd'])
  replica.stop()
})
