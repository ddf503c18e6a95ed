import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import { AdmissionControl, RetryBudget, SlowdownMeter } from '@clementineloft/routing'

const factors: Record<string, number> = { paying: 8, rival: 8, unpaid: 1 }

const createAdmission = (): AdmissionControl => new AdmissionControl(() => 100, (team) => factors[team] as number)

const fill = (admission: AdmissionControl, team: string): number => {
  let admitted = 0
  while (admission.canAdmit(team)) {
    admission.add(team)
    admitted++
  }
  return admitted
}

test('a flood of requests from an unpaid team and a burst from a rival team leave capacity for a paying team', () => {
  const admission = createAdmission()
  assert.equal(fill(admission, 'unpaid'), 50)
  assert.ok(fill(admission, 'rival') >= 40)
  assert.equal(admission.canAdmit('unpaid'), false)
  assert.equal(admission.canAdmit('paying'), true)
})

test('a single active paying team can use nearly the whole capacity', () => {
  assert.ok(fill(createAdmission(), 'paying') >= 88)
})

test('retries are refused when the budget is spent, and allowed again after successes and after time has passed', () => {
  const clock = new ManualClock()
  const budget = new RetryBudget(0.5, 1, 2, clock)
  assert.deepEqual([budget.take(), budget.take(), budget.take()], [true, true, false])
  budget.recordSuccess()
  budget.recordSuccess()
  assert.deepEqual([budget.take(), budget.take()], [true, false])
  clock.advance(1000)
  assert.deepEqual([budget.take(), budget.take()], [true, false])
})

test('the slowdown rises when an engine becomes slow and falls when it recovers', () => {
  const meter = new SlowdownMeter()
  for (let step = 0; step < 100; step++) meter.record(10, 1)
  assert.ok(meter.getSlowdown() < 1.1)
  for (let step = 0; step < 100; step++) meter.record(50, 1)
  assert.ok(meter.getSlowdown() > 4)
  for (let step = 0; step < 100; step++) meter.record(10, 1)
  assert.ok(meter.getSlowdown() < 1.3)
})
