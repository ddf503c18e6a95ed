import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'
import type { RequestCrash } from '@clementineloft/routing'

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

const createCrash = (endpoint: string, crashedMs: number, changes: Partial<RequestCrash> = {}): RequestCrash =>
  ({ endpoint, sentMs: crashedMs, crashedMs, isBeginning: false, ...changes })

test('crashes of several endpoints with a common cause count as one, a crash under a repeat that was sent later does not', () => {
  const register = new CrashRegister(new ManualClock(), { commonCauseMs: 40 })
  register.recordCrash(['p'], createCrash('e1', 100, { sentMs: 0 }))
  register.recordCrash(['p'], createCrash('e2', 139, { sentMs: 90 }))
  assert.deepEqual([register.isSuspect('p'), register.isQuarantined('p')], [true, false])
  register.recordCrash(['p'], createCrash('e3', 140, { sentMs: 90 }))
  assert.equal(register.isQuarantined('p'), true)
  register.recordCrash(['q'], createCrash('e4', 100, { sentMs: 0 }))
  register.recordCrash(['q'], createCrash('e5', 102, { sentMs: 101 }))
  assert.equal(register.isQuarantined('q'), true)
})

test('a request that was answered around a crash is not suspected, and an answer ends a wrong quarantine', () => {
  const clock = new ManualClock()
  const register = new CrashRegister(clock)
  register.recordAnswer(['popular'])
  clock.advance(9000)
  register.record({ endpoint: 'e1', fingerprints: ['popular', 'rare'] })
  register.record({ endpoint: 'e2', fingerprints: ['popular', 'rare'] })
  assert.deepEqual([register.isSuspect('popular'), register.isQuarantined('rare')], [false, true])
  assert.deepEqual(register.recordAnswer(['rare']), ['rare'])
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
  one.recordAnswer(['p'])
  for (const notice of one.listNextNotices(10)) assert.equal(other.merge(notice), true)
  assert.equal(other.isQuarantined('p'), false)
})

test('many suspects of one caller do not evict the quarantine of another', () => {
  const register = new CrashRegister(new ManualClock())
  for (const endpoint of ['e1', 'e2']) register.record({ endpoint, fingerprints: ['p'] })
  register.record({ endpoint: 'e3', fingerprints: Array.from({ length: 20_000 }, (_, index) => `flood-${index}`) })
  assert.equal(register.isQuarantined('p'), true)
})

test('of prompt parts that calls share, the one at every crash is quarantined, without the parts that answered calls hold', () => {
  const clock = new ManualClock()
  clock.advance(60_000)
  const register = new CrashRegister(clock)
  register.recordAnswer(['s/sound', 's/first'])
  register.recordCrash(['call-1', 's/first', 's/deadly'], createCrash('e1', clock.now()))
  register.recordCrash(['call-2', 's/first', 's/deadly'], createCrash('e2', clock.now()))
  assert.equal(register.isRefused(['call-3', 's/first', 's/deadly']), true)
  assert.equal(register.isRefused(['call-4', 's/other', 's/deadly']), true)
  assert.equal(register.isRefused(['call-5', 's/first']), false)
})

test('until an answer or a crash tells two parts apart, only calls with both are refused', () => {
  const register = new CrashRegister(new ManualClock())
  register.recordCrash(['call-1', 's/rare', 's/deadly'], createCrash('e1', 1))
  register.recordCrash(['call-2', 's/rare', 's/deadly'], createCrash('e2', 2))
  assert.equal(register.isRefused(['call-3', 's/rare', 's/deadly']), true)
  assert.deepEqual([register.isRefused(['call-4', 's/rare']), register.isRefused(['call-5', 's/deadly'])], [false, false])
  register.recordCrash(['call-5', 's/deadly'], createCrash('e3', 3))
  assert.deepEqual([register.isRefused(['call-6', 's/rare']), register.isRefused(['call-7', 's/deadly'])], [false, true])
})

test('calls that only waited at endpoints which a deadly part crashed are not quarantined with it', () => {
  const register = new CrashRegister(new ManualClock())
  for (const [index, endpoint] of ['e1', 'e2', 'e3'].entries()) {
    register.recordCrash([`call-${index}`, 's/first', 's/deadly'], createCrash(endpoint, index, { isBeginning: true }))
    if (index > 0) register.recordCrash(['innocent', 's/first'], createCrash(endpoint, index))
  }
  assert.equal(register.isRefused(['call-9', 's/first', 's/deadly']), true)
  assert.equal(register.isRefused(['innocent', 's/first']), false)
})

test('a call at the beginning of whose answer an endpoint crashed waits, and calls with all its suspected parts, but no others', () => {
  const clock = new ManualClock()
  clock.advance(60_000)
  const register = new CrashRegister(clock)
  register.recordAnswer(['call-0', 's/common'])
  register.recordCrash(['call-1', 's/common', 's/part', 's/rare'], createCrash('e1', clock.now(), { isBeginning: true }))
  register.recordCrash(['call-2', 's/other'], createCrash('e1', clock.now()))
  register.recordCrash(['call-6', 's/common'], createCrash('e2', clock.now(), { isBeginning: true }))
  const calls = [['call-1', 's/common', 's/part', 's/rare'], ['call-3', 's/part', 's/rare'], ['call-4', 's/part'], ['call-5', 's/common'], ['call-2', 's/other'], ['call-6', 's/common']]
  assert.deepEqual(calls.map((call) => register.computeRefusalMs(call)), [30_000, 30_000, 0, 0, 0, 5000])
  clock.advance(30_000)
  assert.deepEqual(calls.map((call) => register.isRefused(call)), [false, false, false, false, false, false])
})

test('a deadly part at every crash explains them, although a call that waited at all of them was repeated more often in between', () => {
  const register = new CrashRegister(new ManualClock(), { commonCauseMs: 40 })
  register.recordCrash(['call-1', 's/deadly'], createCrash('e1', 100, { isBeginning: true }))
  register.recordCrash(['call-2', 's/deadly'], createCrash('e2', 250, { sentMs: 110, isBeginning: true }))
  register.recordCrash(['call-3', 's/deadly'], createCrash('e3', 270, { sentMs: 120, isBeginning: true }))
  for (const [endpoint, sentMs, crashedMs] of [['e1', 50, 100], ['e2', 100, 250], ['e3', 250, 270]] as const) {
    register.recordCrash(['waiting', 's/other'], createCrash(endpoint, crashedMs, { sentMs }))
  }
  assert.deepEqual(register.listQuarantined(), ['s/deadly'])
})

test('a part that two crashes accuse is tried again after a while, later with each further crash, a content is not', () => {
  const clock = new ManualClock()
  const register = new CrashRegister(clock)
  for (const endpoint of ['e1', 'e2']) register.recordCrash([`call-${endpoint}`, 's/part'], createCrash(endpoint, clock.now()))
  for (const endpoint of ['e3', 'e4']) register.recordCrash(['content'], createCrash(endpoint, clock.now()))
  assert.equal(register.computeRefusalMs(['call-9', 's/part']), 5000)
  clock.advance(5000)
  assert.deepEqual([register.isRefused(['call-9', 's/part']), register.isRefused(['content'])], [false, true])
  register.recordCrash(['call-9', 's/part'], createCrash('e5', clock.now()))
  assert.equal(register.computeRefusalMs(['call-10', 's/part']), 20_000)
})

test('a repeat sent right after a crash counts separately in a process that knows it from rounded ages', () => {
  const register = new CrashRegister(new ManualClock(), { commonCauseMs: 40 })
  const crashes = [{ endpoint: 'e1', ageMs: 25, heldMs: 20, isBeginning: false }, { endpoint: 'e2', ageMs: 2, heldMs: 24, isBeginning: false }]
  register.merge({ trait: 'p', crashes, companions: ['p'] })
  assert.equal(register.isQuarantined('p'), true)
})
