import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { test } from 'node:test'
import { ErrorKind, getErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { HttpPlainService } from '../lib/adapters/http-plain-service.js'
import type { ServiceAnswer } from '../lib/adapters/plain-service.js'

const listenWith = async (answer: string): Promise<Server> => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.end(answer, 'latin1') })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

const runWith = async (answer: string): Promise<ServiceAnswer> => {
  const server = await listenWith(answer)
  const service = new HttpPlainService(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1000)
  try {
    return await service.run({ request: 'r', team: 't', method: 'GET', path: '/a', headers: [], body: new Uint8Array(), key: '', deadlineMs: 1000, fingerprint: 'f', service: 's', scope: 's/t', isIdempotent: true })
  } finally {
    server.close()
  }
}

// Guards against a call that has run and whose answer fails in the entry, as an error of the entry itself.
test('an answer of a service that cannot be sent on is a failure of the endpoint with unknown outcome', async () => {
  for (const head of ['200 OK\r\nServer Load: 1', '000 OK', '101 OK', '999 OK']) {
    const thrown = await runWith(`HTTP/1.1 ${head}\r\nContent-Length: 2\r\n\r\nok`).then(() => undefined, (error: unknown) => error)
    assert.deepEqual([getErrorKind(thrown), getErrorOutcome(thrown)], [ErrorKind.endpointFailed, Outcome.unknown], head)
  }
  assert.equal((await runWith('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')).status, 200)
})
