import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LayerTarget } from '@clementineloft/routing'

test('the newest layout is applied, in whatever order and however often assignments arrive', () => {
  const target = new LayerTarget()
  assert.equal(target.getSpan(), undefined)
  assert.equal(target.apply(7, { from: 0, to: 10 }), true)
  assert.equal(target.apply(7, { from: 0, to: 10 }), false, 'duplicate')
  assert.equal(target.apply(5, { from: 20, to: 30 }), false, 'sent by a former lease holder, or read from a stale store')
  assert.deepEqual([target.getRevision(), target.getSpan()], [7, { from: 0, to: 10 }])
  assert.equal(target.apply(9, undefined), true)
  assert.deepEqual([target.getRevision(), target.getSpan()], [9, undefined])
})
