import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import { Admission, RetryBudget, SlowdownMeter } from '@clementineloft/routing'

const factors: Record<string, number> = { paying: 8, rival: 8, unpaid: 1 }

const createAdmission = (): Admission => new Admission(() => 100, (team) => factors[team] as number)

const fill = (admission: Admission, team: string): number => {
  let admitted = 0
  while (admission.canAdmit(team)) {
    admission.add(team)
    admitted++
  }
  return admitted
}

test('a flood of an unpaid team and a burst of a rival leave room for the next request of a paying team', () => {
  const admission = createAdmission()
  assert.equal(fill(admission, 'unpaid'), 50)
  assert.ok(fill(admission, 'rival') >= 40)
  assert.equal(admission.canAdmit('unpaid'), false)
  assert.equal(admission.canAdmit('paying'), true)
})

test('a paying team alone comes close to all places', () => {
  assert.ok(fill(createAdmission(), 'paying') >= 88)
})

test('retries end with their budget and come back with successes', () => {
  const clock = new ManualClock()
  const budget = new RetryBudget(0.5, 1, 2, clock)
  assert.deepEqual([budget.take(), budget.take(), budget.take()], [true, true, false])
  budget.recordSuccess()
  budget.recordSuccess()
  assert.deepEqual([budget.take(), budget.take()], [true, false])
  clock.advance(1000)
  assert.deepEqual([budget.take(), budget.take()], [true, false])
})

test('an engine that becomes slow reports it, and reports health when it is fast again', () => {
  const meter = new SlowdownMeter()
  for (let step = 0; step < 100; step++) meter.record(10, 1)
  assert.ok(meter.getSlowdown() < 1.1)
  for (let step = 0; step < 100; step++) meter.record(50, 1)
  assert.ok(meter.getSlowdown() > 4)
  for (let step = 0; step < 100; step++) meter.record(10, 1)
  assert.ok(meter.getSlowdown() < 1.3)
})
