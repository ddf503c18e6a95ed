import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LossAction, LossLimit } from '@clementineloft/routing'

const recordLosses = (limit: LossLimit, losses: number, nowMs: number): LossAction[] =>
  Array.from({ length: losses }, () => limit.recordLoss(nowMs))

test('lost stages are replaced immediately up to the limit, then after a pause', () => {
  const limit = new LossLimit(2, 1000, 0)
  assert.deepEqual(recordLosses(limit, 4, 10), [LossAction.replace, LossAction.replace, LossAction.pause, LossAction.replace])
})

test('a run without a token for the maximum time fails instead of pausing', () => {
  const limit = new LossLimit(2, 1000, 0)
  recordLosses(limit, 3, 999)
  assert.deepEqual(recordLosses(limit, 3, 1000), [LossAction.replace, LossAction.replace, LossAction.giveUp])
})

test('a token resets both the loss count and the time limit', () => {
  const limit = new LossLimit(2, 1000, 0)
  recordLosses(limit, 2, 500)
  limit.recordToken(600)
  assert.deepEqual(recordLosses(limit, 3, 1500), [LossAction.replace, LossAction.replace, LossAction.pause])
})
