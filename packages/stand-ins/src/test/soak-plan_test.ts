import assert from 'node:assert/strict'
import { test } from 'node:test'
import { planSoak, SoakAction, soakDurationMs } from '../soak/soak-plan.js'

const sizes = { processes: 8, workers: 6, services: 2 }
const plans = Array.from({ length: 400 }, (_, seed) => planSoak(seed, sizes))
const steps = plans.flat()

test('the same seed gives the same plan, and another seed a different one', () => {
  assert.deepEqual(planSoak(7, sizes), planSoak(7, sizes))
  assert.notDeepEqual(planSoak(7, sizes), planSoak(8, sizes))
})

test('over many seeds every action is drawn, at early and late times', () => {
  for (const action of Object.values(SoakAction)) {
    const times = steps.filter((step) => step.action === action).map((step) => step.atMs)
    assert.ok(Math.min(...times) < soakDurationMs / 5 && Math.max(...times) > soakDurationMs * 4 / 5, action)
  }
})

test('plans contain overlapping steps and repeated steps on the same target', () => {
  const overlaps = plans.filter((plan) => plan.some((step, index) => index > 0 && step.atMs < (plan[index - 1]?.atMs ?? 0) + (plan[index - 1]?.durationMs ?? 0)))
  const repeats = plans.filter((plan) => new Set(plan.map((step) => `${step.action} ${step.target}`)).size < plan.length)
  assert.ok(overlaps.length > plans.length / 2)
  assert.ok(repeats.length > 0)
})

test('targets are valid indexes', () => {
  for (const { action, target } of steps) {
    const count = action.endsWith('-process') ? sizes.processes : action === SoakAction.injectLinkFault ? sizes.workers + sizes.services : sizes.workers
    assert.ok(target >= 0 && target < count, `${action} ${target}`)
  }
})
