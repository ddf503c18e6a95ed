import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ErrorKind, getErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import type { ConfigDocument } from '../lib/operators/config-document.js'
import { findKeyRange } from '../lib/endpoints/key-ranges.js'

test('without a configuration a key is refused with the outcome not-run, because a guessed range count would miss claims', () => {
  assert.throws(() => findKeyRange(undefined, 's', 's/team key'), (error) =>
    getErrorKind(error) === ErrorKind.notReady && getErrorOutcome(error) === Outcome.notRun)
})

test('all key ranges of a service together stay within its write budget', () => {
  const document: ConfigDocument = {
    teams: {}, models: {}, endpoints: {}, links: [], services: { s: { idempotentMethods: [], keyRanges: 16, claimWritesPerSecond: 100 } }
  }
  const { writeIntervalMs } = findKeyRange(document, 's', 's/team key')
  assert.equal(16 * 1000 / writeIntervalMs, 100)
})
