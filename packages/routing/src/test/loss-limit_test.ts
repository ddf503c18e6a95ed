import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LossLimit, LossStep } from '@clementineloft/routing'

const recordLosses = (limit: LossLimit, losses: number, nowMs: number): LossStep[] =>
  Array.from({ length: losses }, () => limit.recordLoss(nowMs))

test('losses are replaced at once up to the limit, then after a pause', () => {
  const limit = new LossLimit(2, 1000, 0)
  assert.deepEqual(recordLosses(limit, 4, 10), [LossStep.replace, LossStep.replace, LossStep.pause, LossStep.replace])
})

test('a run without a token for too long is given up at the next pause', () => {
  const limit = new LossLimit(2, 1000, 0)
  recordLosses(limit, 3, 999)
  assert.deepEqual(recordLosses(limit, 3, 1000), [LossStep.replace, LossStep.replace, LossStep.giveUp])
})

test('a token begins both counts anew', () => {
  const limit = new LossLimit(2, 1000, 0)
  recordLosses(limit, 2, 500)
  limit.recordToken(600)
  assert.deepEqual(recordLosses(limit, 3, 1500), [LossStep.replace, LossStep.replace, LossStep.pause])
})
