import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'

test('one crash makes a request suspect, a second endpoint quarantines it, a repeat at the same endpoint does not', () => {
  const register = new CrashRegister(new ManualClock())
  assert.equal(register.record({ endpoint: 'e1', fingerprints: ['p', 'innocent'] }), true)
  assert.equal(register.record({ endpoint: 'e1', fingerprints: ['p'] }), false)
  assert.deepEqual([register.isSuspect('p'), register.isQuarantined('p')], [true, false])
  register.record({ endpoint: 'e2', fingerprints: ['p'] })
  register.clear('p')
  register.clear('innocent')
  assert.deepEqual([register.isQuarantined('p'), register.isSuspect('innocent')], [true, false])
})

test('crashes expire after the retention period', () => {
  const clock = new ManualClock()
  const register = new CrashRegister(clock)
  register.record({ endpoint: 'e1', fingerprints: ['old'] })
  clock.advance(3_600_001)
  assert.equal(register.isSuspect('old'), false)
})
