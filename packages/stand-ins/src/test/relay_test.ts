import assert from 'node:assert/strict'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { after, before, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { Relay, RelayFault } from '../lib/relay.js'

const host = '127.0.0.1'
const listen = { host, port: 28_571 }
const target = { host, port: 28_572 }

let accept: (socket: Socket) => void = () => {}
const server = createServer((socket) => {
  socket.on('error', () => { /* The close event follows. */ })
  accept(socket)
})
const relay = new Relay(listen, target)

before(async () => { await new Promise<void>((resolve) => { server.listen(target.port, host, resolve) }) })
after(() => {
  relay.close()
  server.close()
})

/** Sends a byte. @returns the answer, and whether the connection ended with an error or has no peer at its end */
const exchange = (): Promise<{ text: string, hadError: boolean }> => new Promise((resolve) => {
  const socket = connect(listen.port, host)
  let text = ''
  socket.on('data', (bytes) => { text += bytes.toString() })
  socket.on('error', () => { /* The close event follows. */ })
  let isReset = false
  socket.prependListener('end', () => { isReset = socket.remoteAddress === undefined })
  socket.on('close', (hadError) => { resolve({ text, hadError: hadError || isReset }) })
  socket.write('?')
})

test('bytes and a normal close are forwarded', async () => {
  accept = (socket) => { socket.once('data', () => { socket.end('answer') }) }
  assert.deepEqual(await exchange(), { text: 'answer', hadError: false })
})

test('a reset is forwarded as a reset', async () => {
  accept = (socket) => { socket.once('data', () => { socket.write('half', () => { setTimeout(() => { socket.resetAndDestroy() }, 50) }) }) }
  assert.deepEqual(await exchange(), { text: 'half', hadError: true })
})

test('a reset that arrives with the last bytes is forwarded as a reset, not as an end', async () => {
  accept = (socket) => { socket.once('data', () => { socket.write('half', () => { socket.resetAndDestroy() }) }) }
  // The bytes may be lost with the connection.
  for (let call = 0; call < 50; call++) assert.equal((await exchange()).hadError, true)
})

test('a muted link forwards requests and drops answers until the fault is cleared', async () => {
  let received = 0
  accept = (socket) => { socket.on('data', () => { received++; socket.write('answer') }) }
  relay.setFault(RelayFault.muted)
  const answer = exchange()
  await wait(100)
  assert.equal(received, 1)
  relay.clearFault()
  assert.equal((await answer).text, '')
})
