import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'

test('one crash makes a request suspect, a second endpoint quarantines it, a repeat at the same endpoint does not', () => {
  const register = new CrashRegister(new ManualClock())
  assert.equal(register.record({ endpoint: 'e1', fingerprints: ['p', 'innocent'] }), true)
  assert.equal(register.record({ endpoint: 'e1', fingerprints: ['p'] }), false)
  assert.deepEqual([register.isSuspect('p'), register.isQuarantined('p')], [true, false])
  register.record({ endpoint: 'e2', fingerprints: ['p'] })
  register.clear('p')
  register.clear('innocent')
  assert.deepEqual([register.isQuarantined('p'), register.isSuspect('innocent')], [true, false])
})

test('crashes expire after the retention period', () => {
  const clock = new ManualClock()
  const register = new CrashRegister(clock)
  register.record({ endpoint: 'e1', fingerprints: ['old'] })
  clock.advance(3_600_001)
  assert.equal(register.isSuspect('old'), false)
})

test('crashes of several endpoints with a common cause count as one, a crash under a repeat that was sent later does not', () => {
  const register = new CrashRegister(new ManualClock(), { commonCauseMs: 40 })
  register.recordCrash('p', { endpoint: 'e1', sentMs: 0, crashedMs: 100 })
  register.recordCrash('p', { endpoint: 'e2', sentMs: 90, crashedMs: 139 })
  assert.deepEqual([register.isSuspect('p'), register.isQuarantined('p')], [true, false])
  register.recordCrash('p', { endpoint: 'e3', sentMs: 90, crashedMs: 140 })
  assert.equal(register.isQuarantined('p'), true)
  register.recordCrash('q', { endpoint: 'e1', sentMs: 0, crashedMs: 100 })
  register.recordCrash('q', { endpoint: 'e2', sentMs: 101, crashedMs: 102 })
  assert.equal(register.isQuarantined('q'), true)
})

test('a request that was answered around a crash is not suspected, and an answer ends a wrong quarantine', () => {
  const clock = new ManualClock()
  const register = new CrashRegister(clock)
  register.recordAnswer('popular')
  clock.advance(9000)
  register.record({ endpoint: 'e1', fingerprints: ['popular', 'rare'] })
  register.record({ endpoint: 'e2', fingerprints: ['popular', 'rare'] })
  assert.deepEqual([register.isSuspect('popular'), register.isQuarantined('rare')], [false, true])
  assert.equal(register.recordAnswer('rare'), true)
  assert.equal(register.isSuspect('rare'), false)
})

test('processes that exchange notices agree on a quarantine, whose crashes each of them has seen only once', () => {
  const clock = new ManualClock()
  const [one, other] = [new CrashRegister(clock), new CrashRegister(clock)]
  one.record({ endpoint: 'e1', fingerprints: ['p'] })
  other.record({ endpoint: 'e2', fingerprints: ['p'] })
  for (const [from, to] of [[one, other], [other, one]] as const) {
    for (const notice of from.listNextNotices(10)) assert.equal(to.merge(notice), true)
  }
  assert.deepEqual([one.isQuarantined('p'), other.isQuarantined('p')], [true, true])
  for (const notice of one.listNextNotices(10)) assert.equal(other.merge(notice), false, 'known notices are not passed on again')
  one.recordAnswer('p')
  for (const notice of one.listNextNotices(10)) assert.equal(other.merge(notice), true)
  assert.equal(other.isQuarantined('p'), false)
})

test('many suspects of one caller do not evict the quarantine of another', () => {
  const register = new CrashRegister(new ManualClock())
  for (const endpoint of ['e1', 'e2']) register.record({ endpoint, fingerprints: ['p'] })
  register.record({ endpoint: 'e3', fingerprints: Array.from({ length: 20_000 }, (_, index) => `flood-${index}`) })
  assert.equal(register.isQuarantined('p'), true)
})
