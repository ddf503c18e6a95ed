/**
 * Guards against calls that a stopping process takes late and then cuts without an answer.
 */
import assert from 'node:assert/strict'
import { Agent, request as openRequest } from 'node:http'
import type { ServerResponse } from 'node:http'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { SystemClock } from '@clementineloft/kernel'
import { CallHost } from '../lib/callers/call-host.js'
import type { AcceptedCall } from '../lib/callers/call-host.js'
import { CallServer } from '../lib/callers/call-server.js'
import type { CallHead } from '../lib/callers/caller-protocol.js'
import { drainCalls } from '../lib/callers/drain-calls.js'
import { OpenAiProtocol } from '../lib/callers/open-ai-protocol.js'

const limitMs = 1000
const port = 28472
const longBodyBytes = 4_000_000

/** Runs `/quick` at once, begins an answer to `/stream`, sends much to `/big`, and never answers `/slow`. */
class TestHost extends CallHost<CallHead> {
  readonly started: Array<{ path: string, atMs: number }> = []

  override accept (call: CallHead): AcceptedCall {
    return {
      maxBodyBytes: 100,
      start: (_body, _request, response: ServerResponse) => {
        this.started.push({ path: call.path, atMs: performance.now() })
        if (call.path === '/quick') response.end('done')
        if (call.path === '/stream') response.write('half')
        if (call.path === '/big') response.end(Buffer.alloc(longBodyBytes))
      }
    }
  }

  override isLeaving (): boolean { return true }
  override recordRefusal (): void {}
  override getRetryAfterMs (): undefined { return undefined }
}

interface Reply { status: number, bytes: number, isComplete: boolean, kind: string }

const send = async (path: string, agent: Agent | false = false, bodyDelayMs = 0, readDelayMs = 0): Promise<Reply> => await new Promise((resolve) => {
  const reply: Reply = { status: 0, bytes: 0, isComplete: false, kind: '' }
  const outgoing = openRequest({ host: '127.0.0.1', port, path, method: 'POST', agent, headers: { 'content-length': 1 } }, (response) => {
    reply.status = response.statusCode ?? 0
    void wait(readDelayMs).then(() => {
      response.on('data', (chunk: Buffer) => {
        reply.bytes += chunk.byteLength
        reply.kind = /"kind":"([\w-]+)"/.exec(chunk.toString('latin1'))?.[1] ?? reply.kind
      })
    })
    response.on('error', () => {})
    response.on('close', () => { resolve({ ...reply, isComplete: response.complete }) })
  })
  outgoing.on('error', () => { resolve(reply) })
  outgoing.flushHeaders()
  setTimeout(() => { outgoing.end('x') }, bodyDelayMs)
})

test('a call is answered, refused as not run, or cut visibly, and none starts late', async () => {
  const host = new TestHost()
  const server = new CallServer(new OpenAiProtocol(), host, new SystemClock(), 4096)
  await server.listen(`127.0.0.1:${port}`)
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  await send('/quick', agent)
  const slow = send('/slow')
  const stream = send('/stream')
  const big = send('/big', false, 0, 700)
  const lateBody = send('/quick', false, limitMs * 0.7)
  const unfinished = send('/quick', false, 10 * limitMs)
  await wait(50)
  const startMs = performance.now()
  const drained = drainCalls({ server, clock: new SystemClock(), limitMs, acceptsConnections: true, endCalls: () => {} })
  const early = await send('/quick', agent)
  await wait(limitMs * 0.6)
  const late = await send('/quick', agent)
  assert.equal(await drained, 3)
  server.close()
  agent.destroy()
  assert.deepEqual([(await slow).status, (await slow).kind], [502, 'outcome-unknown'])
  assert.deepEqual([(await stream).status, (await stream).isComplete], [200, false])
  assert.deepEqual([(await big).bytes, (await big).isComplete], [longBodyBytes, true])
  assert.equal(early.status, 200)
  for (const refused of [late, await lateBody, await unfinished]) assert.deepEqual([refused.status, refused.kind], [503, 'leaving'])
  assert.deepEqual(host.started.filter(({ atMs }) => atMs - startMs > limitMs * 0.55), [])
})

test('a server that accepts no connections any more is drained as soon as its calls have ended', async () => {
  const server = new CallServer(new OpenAiProtocol(), new TestHost(), new SystemClock(), 4096)
  await server.listen(`127.0.0.1:${port}`)
  server.stopListening()
  const startMs = performance.now()
  assert.equal(await drainCalls({ server, clock: new SystemClock(), limitMs: 60_000, acceptsConnections: false, endCalls: () => {} }), 0)
  assert.ok(performance.now() - startMs < 1000)
})
