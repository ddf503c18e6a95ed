import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createError, ErrorKind, getErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { AttemptOutcomes } from '@clementineloft/routing'

const lost = createError(ErrorKind.outcomeUnknown, 'endpoint lost', { outcome: Outcome.unknown })
const refused = createError(ErrorKind.storeUnavailable, 'store down')

test('a refusal after an attempt that may have run does not make the call "not run"', () => {
  const outcomes = new AttemptOutcomes()
  outcomes.record(lost)
  outcomes.record(refused)
  assert.equal(getErrorOutcome(outcomes.getFinalError(refused)), Outcome.unknown)
})

test('a call with only refused attempts is "not run" and has the kind of the last refusal', () => {
  const outcomes = new AttemptOutcomes()
  outcomes.record(refused)
  const error = outcomes.getFinalError(refused)
  assert.deepEqual([getErrorKind(error), getErrorOutcome(error)], [ErrorKind.storeUnavailable, Outcome.notRun])
})
