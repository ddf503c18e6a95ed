import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createError, ErrorKind, getErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { AttemptOutcomes } from '@clementineloft/routing'

const lost = createError(ErrorKind.outcomeUnknown, 'endpoint lost', { outcome: Outcome.unknown })
const refused = createError(ErrorKind.storeUnavailable, 'store down')

test('after an attempt that may have run, a refusal of the next does not make it "not run"', () => {
  const outcomes = new AttemptOutcomes()
  outcomes.record(lost)
  outcomes.record(refused)
  assert.equal(getErrorOutcome(outcomes.getFinalError(refused)), Outcome.unknown)
})

test('a call whose attempts were all refused is "not run", with the kind of the last refusal', () => {
  const outcomes = new AttemptOutcomes()
  outcomes.record(refused)
  const error = outcomes.getFinalError(refused)
  assert.deepEqual([getErrorKind(error), getErrorOutcome(error)], [ErrorKind.storeUnavailable, Outcome.notRun])
})
