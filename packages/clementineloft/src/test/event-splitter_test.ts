import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { EventSplitter } from '../lib/forwarding/event-splitter.js'

const seed = 20_261_204

/** Splits a text that arrives in pieces of the given lengths, cycled. */
const collectInPieces = (text: string, lengths: readonly number[]): { events: string, count: number, lastId: string | undefined, incomplete: number } => {
  const splitter = new EventSplitter()
  const bytes = Buffer.from(text, 'latin1')
  let events = ''
  let count = 0
  let lastId: string | undefined
  for (let from = 0, piece = 0; from < bytes.length; piece++) {
    const to = from + (lengths[piece % lengths.length] as number)
    const batch = splitter.add(bytes.subarray(from, to))
    events += batch?.bytes.toString('latin1') ?? ''
    count += batch?.count ?? 0
    lastId = batch?.lastId ?? lastId
    from = to
  }
  return { events, count, lastId, incomplete: splitter.getIncompleteBytes() }
}

test(`events are the same however the bytes are cut into pieces (seed ${seed})`, () => {
  const text = fc.array(fc.constantFrom('\n', '\r', '\n\n', '\n\r\n', 'id: 7', 'data: x', 'id:8', ' '), { maxLength: 30 }).map((parts) => parts.join(''))
  fc.assert(fc.property(text, fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 1, maxLength: 4 }), (input, lengths) => {
    const whole = collectInPieces(input, [input.length + 1])
    assert.deepEqual(collectInPieces(input, lengths), whole)
    const expected = [...input.matchAll(/[^]*?\n\r?\n/g)].map(([event]) => event)
    assert.equal(whole.events, expected.join(''))
    assert.equal(whole.count, expected.length)
    assert.equal(whole.incomplete, input.length - whole.events.length)
  }), { seed, numRuns: 3000 })
})

test('an event with an id after one without keeps the id, and the incomplete event is counted', () => {
  assert.deepEqual(collectInPieces('id: 1\ndata: a\n\ndata: b\n\nid: 2\nda', [3]), { events: 'id: 1\ndata: a\n\ndata: b\n\n', count: 2, lastId: '1', incomplete: 8 })
})
