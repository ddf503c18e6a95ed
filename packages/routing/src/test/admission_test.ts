import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Admission, RetryBudget, SlowdownMeter } from '@clementineloft/routing'

const terms: Record<string, { weight: number, openShare: number }> = {
  paying: { weight: 1000, openShare: 0.9 },
  rival: { weight: 1000, openShare: 0.9 },
  unpaid: { weight: 1, openShare: 0.5 }
}

const fill = (admission: Admission, team: string): number => {
  let admitted = 0
  while (admission.canAdmit(team)) {
    admission.add(team)
    admitted++
  }
  return admitted
}

test('a flood of an unpaid team leaves half of the places, a burst of a rival leaves room too', () => {
  const admission = new Admission(100, (team) => terms[team] as { weight: number, openShare: number }, 1000)
  assert.equal(fill(admission, 'unpaid'), 50)
  const rival = fill(admission, 'rival')
  assert.ok(rival >= 30)
  assert.equal(admission.canAdmit('paying'), true)
  const flooded = new Admission(100, (team) => terms[team] as { weight: number, openShare: number }, 1000)
  flooded.add('paying')
  fill(flooded, 'rival')
  assert.equal(flooded.canAdmit('rival'), false)
  assert.equal(flooded.canAdmit('paying'), true)
})

test('retries end with their budget and come back with successes', () => {
  const budget = new RetryBudget(0.5, 2)
  assert.deepEqual([budget.take(), budget.take(), budget.take()], [true, true, false])
  budget.recordSuccess()
  budget.recordSuccess()
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
