import assert from 'node:assert/strict'
import { request as openRequest } from 'node:http'
import type { IncomingHttpHeaders } from 'node:http'
import { after, before, test } from 'node:test'
import { createError, ErrorKind, SystemClock } from '@clementineloft/kernel'
import type { KindError } from '@clementineloft/kernel'
import { CallHost } from '../lib/callers/call-host.js'
import type { AcceptedCall } from '../lib/callers/call-host.js'
import { CallServer } from '../lib/callers/call-server.js'
import type { CallHead } from '../lib/callers/caller-protocol.js'
import { OpenAiProtocol } from '../lib/callers/open-ai-protocol.js'

const address = '127.0.0.1:28471'
const maxBodyBytes = 8

interface Reply { status: number, headers: IncomingHttpHeaders, body: string }

class EchoHost extends CallHost<CallHead> {
  readonly refusedKinds: string[] = []
  startCount = 0

  override accept (call: CallHead): AcceptedCall {
    if (call.key === undefined) throw createError(ErrorKind.unauthorized, 'the key is missing')
    return {
      maxBodyBytes,
      start: (body, _request, response) => {
        this.startCount++
        if (call.path === '/broken') throw new Error('a fault of the program')
        if (call.path === '/halfway') {
          response.writeHead(200, { 'content-length': 10 })
          response.write('half')
          throw createError(ErrorKind.endpointFailed, 'lost')
        }
        response.end(`${call.path} ${body.toString()}`)
      }
    }
  }

  override isLeaving (): boolean { return false }
  override recordRefusal (_call: CallHead | undefined, error: KindError): void { this.refusedKinds.push(error.kind) }
  override getRetryAfterMs (): undefined { return undefined }
}

const host = new EchoHost()
const server = new CallServer(new OpenAiProtocol(), host, new SystemClock(), 4096)

const send = (path: string, body: string, key = 'k'): Promise<Reply> => new Promise((resolve, reject) => {
  const headers = key === '' ? {} : { authorization: `Bearer ${key}` }
  const request = openRequest(`http://${address}${path}`, { method: 'POST', headers, agent: false }, (response) => {
    let text = ''
    response.on('data', (chunk: Buffer) => { text += chunk.toString() })
    response.on('error', reject)
    response.on('end', () => { resolve({ status: response.statusCode as number, headers: response.headers, body: text }) })
  })
  request.on('error', reject)
  request.end(body)
})

before(async () => { await server.listen(address) })
after(() => { server.close() })

test('an accepted call starts with its path and body', async () => {
  assert.deepEqual(await send('/echo?q=1', 'text').then(({ status, body }) => ({ status, body })), { status: 200, body: '/echo text' })
})

test('a call refused by its head is not started, and the refusal is recorded', async () => {
  const before = host.startCount
  const reply = await send('/echo', 'text', '')
  assert.equal(reply.status, 401)
  assert.equal(host.startCount, before)
  assert.equal(host.refusedKinds.at(-1), ErrorKind.unauthorized)
})

test('a body that exceeds the limit is refused with status 413', async () => {
  const reply = await send('/echo', 'x'.repeat(maxBodyBytes + 1))
  assert.equal(reply.status, 413)
})

test('an unexpected error is answered with status 500 and without its details', async () => {
  const reply = await send('/broken', '')
  assert.equal(reply.status, 500)
  assert.equal(reply.body.includes('a fault of the program'), false)
  assert.equal(host.refusedKinds.at(-1), ErrorKind.internal)
})

test('an answer that fails after its head has been sent is aborted, so that it does not look complete', async () => {
  await assert.rejects(send('/halfway', ''))
})

test('listening on an address in use fails with an error that names the address', async () => {
  const second = new CallServer(new OpenAiProtocol(), host, new SystemClock(), 4096)
  await assert.rejects(second.listen(address), /cannot listen on "127.0.0.1:28471"/)
})
