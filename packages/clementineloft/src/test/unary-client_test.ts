import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { credentials } from '@grpc/grpc-js'
import { getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { UnaryClient } from '../lib/peers/unary-client.js'

const echo = {
  path: '/test/echo',
  requestSerialize: (message: Buffer) => message,
  responseDeserialize: (bytes: Buffer) => bytes
}

test('a call without an established connection has the outcome not-run', async () => {
  const server = createServer((socket) => { socket.resetAndDestroy() })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const client = new UnaryClient(`127.0.0.1:${port}`, credentials.createInsecure())
  try {
    const error: unknown = await client.call(echo, Buffer.from('hello'), 1000).catch((cause: unknown) => cause)
    assert.match(String(error), /did not answer/)
    assert.equal(getErrorOutcome(error), Outcome.notRun)
  } finally {
    client.close()
    server.close()
  }
})
