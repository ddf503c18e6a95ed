import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LoadTable } from '@clementineloft/routing'

// Guards against an idle endpoint that gets no calls any more, since calls that ended without an answer count as its load.
test('a call that ends without a report is no load of its endpoint any more', () => {
  const loads = new LoadTable()
  loads.recordStart('x')
  loads.recordEnd('x')
  assert.equal(loads.estimate('x'), 0)
  loads.recordReport('x', 2)
  loads.recordStart('x')
  loads.recordStart('x')
  assert.equal(loads.estimate('x'), 4)
  loads.recordEnd('x')
  assert.equal(loads.estimate('x'), 3)
})
