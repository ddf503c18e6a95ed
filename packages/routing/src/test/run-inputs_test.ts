import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunInputs } from '@clementineloft/routing'

const createRow = (value: number): Uint8Array => Uint8Array.of(value)

test('the prompt is fed once, and each token when it is added', () => {
  const inputs = new RunInputs()
  assert.equal(inputs.hasPrompt(), false)
  inputs.acceptPrompt([createRow(1), createRow(2)])
  assert.deepEqual(inputs.takeUnfed(), { position: 0, rows: [createRow(1), createRow(2)] })
  assert.deepEqual(inputs.takeUnfed(), { position: 2, rows: [] })
  inputs.addToken(createRow(3))
  assert.deepEqual(inputs.takeUnfed(), { position: 2, rows: [createRow(3)] })
})

test('the first token is the output of the last prompt position, and each later token that of the next position', () => {
  const inputs = new RunInputs()
  inputs.acceptPrompt([createRow(1), createRow(2), createRow(3)])
  assert.deepEqual([inputs.getDeliveredTo(), inputs.getNextTokenPosition(), inputs.countTokens()], [0, 2, 0])
  inputs.addToken(createRow(4))
  assert.deepEqual([inputs.getDeliveredTo(), inputs.getNextTokenPosition(), inputs.countTokens()], [3, 3, 1])
})

test('rows are fed again from the first position that a replacement has not accepted', () => {
  const inputs = new RunInputs()
  inputs.acceptPrompt([createRow(1), createRow(2)])
  inputs.takeUnfed()
  inputs.resumeFrom(1)
  assert.deepEqual(inputs.takeUnfed(), { position: 1, rows: [createRow(2)] })
})
