/**
 * Guards against cut answers that look complete to their callers, whatever HTTP version these speak.
 */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { after, before, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { AnswerWriter } from '../lib/callers/answer-writer.js'

const cutDelayMs = 30
let answer: (writer: AnswerWriter) => void = () => {}
const server = createServer((_request, response) => { answer(new AnswerWriter(response, () => false)) })

before(async () => { await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) }) })
after(() => {
  server.close()
  server.closeAllConnections()
})

interface RawAnswer { text: string, error: string }

/** Sends a request of an HTTP version and reads until the connection ends. */
const send = async (version: string): Promise<RawAnswer> => await new Promise((resolve) => {
  const received = { text: '', error: '' }
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () => {
    socket.write(`GET / HTTP/${version}\r\nHost: h\r\nConnection: close\r\n\r\n`)
  })
  socket.on('data', (chunk) => { received.text += chunk.toString() })
  socket.on('error', (error: NodeJS.ErrnoException) => { received.error = error.code ?? '' })
  socket.on('close', () => { resolve(received) })
})

const beginAndCut = (writer: AnswerWriter): void => {
  writer.begin({ status: 200, headers: [] })
  writer.write(Buffer.from('half'), () => {})
  void wait(cutDelayMs).then(() => { writer.cutOff() })
}

test('an answer that is cut has no last chunk', async () => {
  answer = beginAndCut
  const { text } = await send('1.1')
  assert.match(text, /Transfer-Encoding: chunked/i)
  assert.ok(text.endsWith('4\r\nhalf\r\n'), text)
})

test('an answer that is cut resets the connection of a caller that knows no chunks', async () => {
  answer = beginAndCut
  const { text, error } = await send('1.0')
  assert.doesNotMatch(text, /Transfer-Encoding/i)
  assert.equal(error, 'ECONNRESET')
})

test('an answer that ends is complete in either version', async () => {
  answer = (writer) => {
    writer.begin({ status: 200, headers: [] })
    writer.write(Buffer.from('whole'), () => {})
    writer.end()
  }
  assert.ok((await send('1.1')).text.endsWith('5\r\nwhole\r\n0\r\n\r\n'))
  const { text, error } = await send('1.0')
  assert.deepEqual([text.endsWith('\r\n\r\nwhole'), error], [true, ''])
})

test('a body that is known whole has a length, and an answer without a body has none', async () => {
  answer = (writer) => { writer.sendWhole({ status: 200, headers: [] }, Buffer.from('whole')) }
  assert.match((await send('1.1')).text, /Content-Length: 5\r\n/)
  answer = (writer) => { writer.sendWhole({ status: 204, headers: [] }, Buffer.alloc(0)) }
  assert.doesNotMatch((await send('1.1')).text, /Content-Length|Transfer-Encoding/i)
})
