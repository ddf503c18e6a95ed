import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LayerTarget } from '@clementineloft/routing'

test('the newest layout decides, in whatever order and however often its words arrive', () => {
  const target = new LayerTarget()
  assert.equal(target.getSpan(), undefined)
  assert.equal(target.apply(7, { from: 0, to: 10 }), true)
  assert.equal(target.apply(7, { from: 0, to: 10 }), false, 'told again')
  assert.equal(target.apply(5, { from: 20, to: 30 }), false, 'told by a former holder, or read from a store that is behind')
  assert.deepEqual([target.getRevision(), target.getSpan()], [7, { from: 0, to: 10 }])
  assert.equal(target.apply(9, undefined), true)
  assert.deepEqual([target.getRevision(), target.getSpan()], [9, undefined])
})
