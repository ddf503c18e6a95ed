/**
 * Callers and operators against a small system of real processes. Guards the public HTTP API, its input checks and the
 * command line of operators.
 */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { mkdtempSync, readFileSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { promisify } from 'node:util'
import OpenAI from 'openai'
import { callOperator } from '../lib/caller.js'
import { DemoFleet, demoKey, demoModel } from '../lib/demo-fleet.js'
import { computeAnswer } from '../lib/model-fold.js'
import { programCommand } from '../lib/program-paths.js'
import { waitUntil } from '../lib/wait-until.js'

const fleet = new DemoFleet({ entries: 2, engineStepMs: 2 })
let url = ''
let admin = ''

before(async () => {
  await fleet.start()
  url = fleet.entries[0]?.url as string
  admin = fleet.entries[0]?.adminUrl as string
})
after(async () => { await fleet.stop() })

const post = async (path: string, body: string, headers: Record<string, string> = {}): Promise<{ status: number, body: Record<string, unknown>, headers: Headers }> => {
  const response = await fetch(`${url}${path}`, { method: 'POST', headers: { authorization: `Bearer ${demoKey}`, ...headers }, body })
  return { status: response.status, body: await response.json() as Record<string, unknown>, headers: response.headers }
}

const runProgram = async (...args: string[]): Promise<{ stdout: string, stderr: string, code: number }> => {
  const [program, ...first] = programCommand as [string, ...string[]]
  return await promisify(execFile)(program, [...first, ...args]).then(
    (result) => ({ ...result, code: 0 }),
    (error: { stdout: string, stderr: string, code: number }) => error
  )
}

const countSessions = async (): Promise<number> => {
  const texts = await Promise.all(fleet.sidecars.map(async (sidecar) => await (await fetch(`${sidecar.adminUrl}/metrics`)).text()))
  return texts.reduce((sum, text) => sum + Number(/^stage_sessions (\d+)/m.exec(text)?.[1]), 0)
}

test('the openai client gets streamed and unstreamed answers, and lists models', async () => {
  const client = new OpenAI({ apiKey: demoKey, baseURL: `${url}/v1` })
  const messages = [{ role: 'user' as const, content: 'Hello.' }]
  const unstreamed = await client.chat.completions.create({ model: demoModel, messages, max_tokens: 5 })
  const request = unstreamed.id.replace('chatcmpl-', '')
  assert.equal(unstreamed.choices[0]?.message.content, computeAnswer(request, 'user: Hello.', fleet.layers, 5))
  assert.equal(unstreamed.choices[0]?.finish_reason, 'length')
  let text = ''
  let id = ''
  for await (const chunk of await client.chat.completions.create({ model: demoModel, messages, max_tokens: 5, stream: true })) {
    id = chunk.id
    text += chunk.choices[0]?.delta.content ?? ''
  }
  assert.equal(text, computeAnswer(id.replace('chatcmpl-', ''), 'user: Hello.', fleet.layers, 5))
  const completion = await client.completions.create({ model: demoModel, prompt: 'Once', max_tokens: 3 })
  assert.equal(completion.choices[0]?.text, computeAnswer(completion.id.replace('cmpl-', ''), 'Once', fleet.layers, 3))
  const models = await client.models.list()
  assert.deepEqual(models.data.map((model) => model.id), [demoModel])
})

test('invalid input is answered with a problem document that names the error', async () => {
  const cases: Array<[string, string, number, string]> = [
    ['/v1/chat/completions', '{"model": ', 400, 'bad-request'],
    ['/v1/chat/completions', '['.repeat(5000) + ']'.repeat(5000), 400, 'bad-request'],
    ['/v1/chat/completions', JSON.stringify({ model: demoModel, messages: [] }), 400, 'bad-request'],
    ['/v1/chat/completions', JSON.stringify({ model: 'none', messages: [{ role: 'user', content: 'a' }] }), 404, 'not-found'],
    ['/v1/completions', JSON.stringify({ model: demoModel, prompt: 'x'.repeat(1_100_000) }), 413, 'too-large'],
    ['/services/none/x', '', 404, 'not-found'],
    ['/elsewhere', '', 404, 'not-found']
  ]
  for (const [path, body, status, kind] of cases) {
    const answer = await post(path, body)
    assert.deepEqual([answer.status, answer.body['kind'], answer.body['outcome']], [status, kind, 'not-run'], path)
    assert.equal(answer.headers.get('content-type'), 'application/problem+json')
  }
  assert.equal((await post('/v1/completions', '{}', { authorization: 'Bearer wrong' })).status, 401)
  const longKey = await post('/services/bookings/x', '', { 'idempotency-key': 'k'.repeat(300) })
  assert.equal(longKey.status, 400)
})

test('request smuggling and oversized headers are refused', async () => {
  const port = Number(new URL(url).port)
  const sendRaw = async (text: string): Promise<string> => await new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => { socket.write(text) })
    let received = ''
    socket.on('data', (bytes) => { received += bytes.toString() })
    socket.on('close', () => { resolve(received) })
  })
  const smuggled = await sendRaw('POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n')
  assert.match(smuggled, /^HTTP\/1.1 400/)
  assert.equal(smuggled.match(/HTTP\/1.1/g)?.length, 1)
  const long = await sendRaw(`GET /v1/models HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`)
  assert.match(long, /^HTTP\/1.1 431/)
})

test('a path cannot address another host', async () => {
  const answer = await post('/services/bookings//127.0.0.1:1/x', '{"id":"path"}')
  assert.equal(answer.status, 201)
})

test('every stage ends its session when the caller disconnects', async () => {
  const controller = new AbortController()
  const body = JSON.stringify({ model: demoModel, stream: true, max_tokens: 5000, messages: [{ role: 'user', content: 'long' }] })
  const response = await fetch(`${url}/v1/chat/completions`, { method: 'POST', headers: { authorization: `Bearer ${demoKey}` }, body, signal: controller.signal })
  assert.equal(response.status, 200)
  assert.equal(await countSessions(), 3)
  controller.abort()
  assert.ok(await waitUntil(async () => await countSessions() === 0))
})

test('operators plan and confirm changes and read status and timeline from the command line', async () => {
  const planned = await runProgram('plan', admin, 'move', 'team', 'thistle', 'down')
  assert.match(planned.stdout, /class paying to late/)
  const id = /^plan ([\w-]+),/.exec(planned.stdout)?.[1] as string
  assert.match((await runProgram('confirm', admin, id)).stdout, /in force with revision 2/)
  assert.equal((await runProgram('plan', admin, 'make', 'tea')).code, 1)
  const refused = await callOperator(admin, '/plans', { intent: 'retire endpoint stage-1a' })
  assert.deepEqual([refused.status, refused.body['kind']], [409, 'conflict'])
  const admins = [...fleet.entries, ...fleet.sidecars].map((member) => member.adminUrl)
  assert.match((await runProgram('status', ...admins)).stdout, /entry-2: serving, data centre saskatoon, revision 2/)
  const completion = await post('/v1/completions', JSON.stringify({ model: demoModel, prompt: 'trace', max_tokens: 2 }))
  const request = String(completion.body['id']).replace('cmpl-', '')
  assert.equal(completion.status, 200, JSON.stringify(completion.body))
  const { stdout, stderr } = await runProgram('timeline', ...admins, '--request', request)
  const names = stdout.trim().split('\n').map((line) => line.split(' ')[2])
  assert.deepEqual([names[0], names.at(-1)], ['request-accepted', 'request-done'], `request ${request}: ${stdout}${stderr}`)
  assert.equal(names.filter((name) => name === 'stage-open').length, 3)
  const trace = join(mkdtempSync(join(tmpdir(), 'clementineloft-trace-')), 'trace.json')
  await runProgram('timeline', ...admins, '--chrome', trace)
  assert.ok((JSON.parse(readFileSync(trace, 'utf8')) as { traceEvents: unknown[] }).traceEvents.length > 0)
})
