import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createError, ErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { ServiceAttempts } from '@clementineloft/routing'

const restarted = createError(ErrorKind.wrongIncarnation, 'endpoint has restarted', { outcome: Outcome.notRun })
const refused = createError(ErrorKind.endpointFailed, 'no connection', { outcome: Outcome.notRun })
const lost = createError(ErrorKind.outcomeUnknown, 'endpoint lost', { outcome: Outcome.unknown })
const ranked = ['first', 'second', 'third']

test('an endpoint that has restarted is tried once more, other endpoints are not', () => {
  const attempts = new ServiceAttempts(4)
  assert.equal(attempts.chooseNext(ranked), 'first')
  attempts.recordFailure('first', refused)
  assert.equal(attempts.chooseNext(ranked), 'second')
  attempts.recordFailure('second', restarted)
  assert.equal(attempts.chooseNext(ranked), 'second')
  attempts.recordFailure('second', restarted)
  assert.equal(attempts.chooseNext(ranked), 'third')
  attempts.recordFailure('third', refused)
  assert.equal(attempts.chooseNext(ranked), undefined)
})

test('a call whose only endpoint has restarted reaches the new process', () => {
  const attempts = new ServiceAttempts(4)
  attempts.recordFailure(attempts.chooseNext(['only']) as string, restarted)
  assert.equal(attempts.chooseNext(['only']), 'only')
})

test('a call tries at most the maximum number of endpoints', () => {
  const attempts = new ServiceAttempts(2)
  for (const name of ['first', 'second']) {
    assert.equal(attempts.chooseNext(ranked), name)
    attempts.recordFailure(name, refused)
  }
  assert.equal(attempts.chooseNext(ranked), undefined)
})

test('a refusal by a restarted endpoint after an attempt that may have run does not make the call "not run"', () => {
  const attempts = new ServiceAttempts(4)
  attempts.recordFailure('first', lost)
  attempts.recordFailure('second', restarted)
  assert.equal(getErrorOutcome(attempts.getFinalError(restarted)), Outcome.unknown)
})
