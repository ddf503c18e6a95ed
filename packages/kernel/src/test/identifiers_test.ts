import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createIdentifier } from '../lib/identifiers.js'

const sampleCount = 5000

test('an identifier begins with a letter, so that a command line does not parse it as a flag or a number', () => {
  for (let index = 0; index < sampleCount; index++) {
    assert.match(createIdentifier(), /^[A-Za-z][\w-]{11}$/)
  }
})

test('identifiers are unique', () => {
  const identifiers = new Set(Array.from({ length: sampleCount }, createIdentifier))
  assert.equal(identifiers.size, sampleCount)
})
