import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StageSession, StepVerdict } from '@clementineloft/routing'
import type { OpenFrame, StepFrame } from '@clementineloft/routing'

const open: OpenFrame = {
  request: 'r',
  attempt: 1,
  stage: 1,
  team: 't',
  model: 'm',
  firstLayer: 0,
  lastLayer: 1,
  next: { endpoint: 'n', address: 'a' },
  prompt: '',
  fingerprint: 'f',
  deadlineMs: 0,
  isHeld: false,
  isSuspect: false
}

const createRows = (count: number): Uint8Array[] => Array.from({ length: count }, () => new Uint8Array(100))

const createStep = (attempt: number, position: number, count = 1): StepFrame =>
  ({ request: 'r', attempt, stage: 1, position, rows: createRows(count) })

test('a repeated step runs nothing, an overlapping step runs only its new rows, and a step after a gap is refused', () => {
  const session = new StageSession(open, 10_000)
  assert.equal(session.acceptStep(createStep(1, 0, 3)).verdict, StepVerdict.run)
  assert.equal(session.acceptStep(createStep(1, 1, 2)).verdict, StepVerdict.repeat)
  const overlap = session.acceptStep(createStep(1, 2, 3))
  assert.deepEqual([overlap.verdict, overlap.position, overlap.rows.length], [StepVerdict.run, 3, 2])
  assert.equal(session.acceptStep(createStep(1, 9)).verdict, StepVerdict.gap)
})

test('after a reroute, steps and reroutes of older attempts are refused', () => {
  const session = new StageSession(open, 10_000)
  session.acceptStep(createStep(1, 0))
  assert.equal(session.reroute({ request: 'r', attempt: 3 }), true)
  assert.equal(session.reroute({ request: 'r', attempt: 2 }), false)
  assert.equal(session.acceptStep(createStep(1, 1)).verdict, StepVerdict.stale)
  assert.equal(session.acceptStep(createStep(3, 1)).verdict, StepVerdict.run)
})

test('after a reroute, outputs are held back until a forward frame gives the position to send from', () => {
  const session = new StageSession(open, 10_000)
  session.acceptStep(createStep(1, 0, 4))
  assert.equal(session.complete(createRows(2))?.outputs.length, 2)
  session.reroute({ request: 'r', attempt: 2 })
  assert.equal(session.complete(createRows(1)), undefined)
  const delivery = session.forward({ request: 'r', attempt: 2, from: 0 })
  assert.deepEqual([delivery?.position, delivery?.outputs.length], [0, 3])
  assert.equal(session.complete(createRows(1))?.position, 3)
})

test('the output log is limited in bytes, and the status reports the first position that it still holds', () => {
  const session = new StageSession(open, 250)
  session.acceptStep(createStep(1, 0, 5))
  session.complete(createRows(5))
  assert.ok(session.getLogBytes() <= 250)
  assert.equal(session.createStatus().loggedFrom, 3)
})
