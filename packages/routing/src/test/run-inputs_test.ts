import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunInputs } from '@clementineloft/routing'

const createRow = (value: number): Uint8Array => Uint8Array.of(value)

test('a prompt is fed once, and each token as it comes', () => {
  const inputs = new RunInputs()
  assert.equal(inputs.hasPrompt(), false)
  inputs.acceptPrompt([createRow(1), createRow(2)])
  assert.deepEqual(inputs.takeUnfed(), { position: 0, rows: [createRow(1), createRow(2)] })
  assert.deepEqual(inputs.takeUnfed(), { position: 2, rows: [] })
  inputs.addToken(createRow(3))
  assert.deepEqual(inputs.takeUnfed(), { position: 2, rows: [createRow(3)] })
})

test('the first token comes from the last position of the prompt, each later one from the next', () => {
  const inputs = new RunInputs()
  inputs.acceptPrompt([createRow(1), createRow(2), createRow(3)])
  assert.deepEqual([inputs.getDeliveredTo(), inputs.getNextPosition(), inputs.countTokens()], [0, 2, 0])
  inputs.addToken(createRow(4))
  assert.deepEqual([inputs.getDeliveredTo(), inputs.getNextPosition(), inputs.countTokens()], [3, 3, 1])
})

test('rows are fed again from a position that a replacement lacks', () => {
  const inputs = new RunInputs()
  inputs.acceptPrompt([createRow(1), createRow(2)])
  inputs.takeUnfed()
  inputs.moveTo(1)
  assert.deepEqual(inputs.takeUnfed(), { position: 1, rows: [createRow(2)] })
})
