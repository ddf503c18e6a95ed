import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createIdentifier } from '../lib/identifiers.js'

const samples = 5000

test('an identifier begins with a letter, so that a command line takes it for a value and not for a flag or a number', () => {
  for (let index = 0; index < samples; index++) {
    assert.match(createIdentifier(), /^[A-Za-z][\w-]{11}$/)
  }
})

test('identifiers differ', () => {
  const identifiers = new Set(Array.from({ length: samples }, createIdentifier))
  assert.equal(identifiers.size, samples)
})
