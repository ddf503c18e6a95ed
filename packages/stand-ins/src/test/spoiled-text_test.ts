/**
 * Text from endpoints and callers that the parser accepts and the runtime refuses to send. Each test guards against an entry
 * that ends, with all the calls that it holds, when such text reaches the head of an answer or of a request.
 */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { computeBody, computeEvent } from '../emulator/emulated-call.js'
import { sendCall } from '../emulator/emulated-caller.js'
import type { CallerAnswer, CallerRequest } from '../emulator/emulated-caller.js'
import { emulatedHost, emulatedKeys, EmulatedPlatform } from '../emulator/emulated-platform.js'
import { emulatedModel } from '../emulator/emulated-worker.js'
import { waitUntil } from '../lib/wait-until.js'

/** Time limit of the routes of the emulated platform, in milliseconds; a call that was not ended properly fails then. */
const routeTimeoutMs = 1500
const byteValues = 256

const platform = new EmulatedPlatform({ network: '127.76', entries: 1, workers: 4, services: 3 })
const streamOptions = { body: 'odd-id', headers: { 'token-usage': '100,60' }, timeoutMs: 8000 }
let entryPid = 0

before(async () => {
  await platform.start()
  entryPid = platform.processes.getPid('entry-1')
  // The retry budget of a service follows its requests.
  for (let call = 0; call < 60; call++) await send('/lookups/warm', { method: 'GET' })
  await Promise.all(Array.from({ length: 30 }, async (_, call) => await send(`/streams/warm-${call}`, streamOptions)))
})
after(async () => { await platform.stop() })

const send = async (target: string, changes: Partial<CallerRequest> = {}): Promise<CallerAnswer> =>
  await sendCall({ address: platform.getEntryAddress(1), host: emulatedHost, target, key: emulatedKeys.prairie, ...changes })

const setSpoiledHeads = (spoilHead: ((head: string) => string) | undefined): void => {
  for (const service of platform.services) service.spoilHead = spoilHead
}

const checkEntryRuns = async (label: string): Promise<void> => {
  const { status } = await send('/nothing', { method: 'GET' })
  assert.ok(status === 404 && platform.processes.isRunning('entry-1') && platform.processes.getPid('entry-1') === entryPid, `the entry ended at ${label}; logs in ${platform.processes.folder}`)
}

type SpoiledHead = [label: string, spoilHead: (head: string) => string]

/** Heads that the parser accepts. */
const acceptedHeads: SpoiledHead[] = [
  ['a blank in a name', (head) => head.replace('Server-Load', 'Server Load')],
  ...['000', '001', '099', '101', '600', '999'].map((status): SpoiledHead => [`status ${status}`, (head) => head.replace('200', status)])
]

const listSpoiledBytes = (): SpoiledHead[] => Array.from({ length: byteValues }, (_, value): SpoiledHead[] => {
  const byte = String.fromCharCode(value)
  return [
    [`byte ${value} in a name`, (head) => head.replace('Server-Load', `Server${byte}Load`)],
    [`byte ${value} in a value`, (head) => head.replace('Server-Load: ', `Server-Load: 1${byte}`)],
    [`byte ${value} in the reason`, (head) => head.replace('200 OK', `200 O${byte}K`)]
  ]
}).flat()

/** Sends look-ups while the next head is spoiled. @returns their statuses */
const checkLookUps = async ([label, spoilHead]: SpoiledHead): Promise<number[]> => {
  let isSpoiled = false
  setSpoiledHeads((head) => {
    if (isSpoiled) return head
    isSpoiled = true
    return spoilHead(head)
  })
  const lookUps = await Promise.all([0, 1, 2].map(async (call) => await send(`/lookups/${call}`, { method: 'GET' })))
  setSpoiledHeads(undefined)
  for (const [call, lookUp] of lookUps.entries()) {
    if (lookUp.status === 200) assert.equal(lookUp.body, computeBody({ method: 'GET', target: `/lookups/${call}`, body: '' }), label)
  }
  await checkEntryRuns(label)
  return lookUps.map(({ status }) => status)
}

test('a head that the parser accepts and that cannot be sent on ends no entry: the look-up goes to another endpoint', async () => {
  for (const head of acceptedHeads) assert.deepEqual(await checkLookUps(head), [200, 200, 200], head[0])
})

test('a booking whose answer has a spoiled head or no final status is answered as of unknown outcome, and runs once', async () => {
  for (const [label, spoilHead] of acceptedHeads) {
    setSpoiledHeads(spoilHead)
    const booking = await send('/bookings/spoiled', { body: label })
    setSpoiledHeads(undefined)
    await checkEntryRuns(label)
    const runs = platform.services.flatMap((service) => service.runs).filter((run) => run === booking.id)
    assert.deepEqual([booking.status, runs.length], [502, 1], label)
  }
})

test('a stream that breaks off after an event whose id cannot be sent on ends incomplete, and ends no entry', async () => {
  platform.fleet.eventIdSuffix = 'a\u0001b'
  let received = 0
  const stream = send('/streams/odd-id', { ...streamOptions, handleChunk: () => { received++ } })
  assert.ok(await waitUntil(() => received > 3))
  const [first] = platform.workers.filter((worker) => worker.countStreams() > 0)
  first?.crash()
  const answer = await stream
  await checkEntryRuns('an event id')
  const expected = Array.from({ length: emulatedModel.events }, (_, index) => computeEvent({ target: '/streams/odd-id', body: 'odd-id' }, index + 1, 'a\u0001b')).join('')
  assert.deepEqual([answer.status, answer.isComplete, expected.startsWith(answer.body)], [200, false, true])
  platform.fleet.eventIdSuffix = ''
  await first?.start()
  assert.ok(await waitUntil(() => platform.workers.every((worker) => worker.layers !== null), 10_000))
})

/** @returns first line of the answer to a request that is sent byte for byte; empty if the connection closed without one */
const sendBytes = async (text: string): Promise<string> => await new Promise((resolve) => {
  const [host, port] = platform.getEntryAddress(1).split(':') as [string, string]
  let answer = ''
  const socket = connect(Number(port), host, () => { socket.write(text, 'latin1') })
  socket.on('data', (chunk) => { answer += chunk.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => { resolve(answer.split('\r\n', 1)[0] as string) })
  socket.setTimeout(routeTimeoutMs, () => { socket.destroy() })
})

test('a caller\'s odd byte in a target, header name or header value ends no entry, at once or at the deadline', async () => {
  const end = `Host: ${emulatedHost}\r\nAuthorization: Bearer ${emulatedKeys.prairie}\r\nConnection: close\r\n`
  const requests = Array.from({ length: byteValues }, (_, value) => {
    const byte = String.fromCharCode(value)
    return [
      `GET /lookups/a${byte}b HTTP/1.1\r\nAttempt-Id: t-${value}\r\n${end}\r\n`,
      `GET /lookups/a HTTP/1.1\r\nAttempt-Id: n-${value}\r\nX${byte}y: 1\r\n${end}\r\n`,
      `GET /lookups/a HTTP/1.1\r\nAttempt-Id: v-${value}\r\nX-Odd: 1${byte}2\r\n${end}\r\n`
    ]
  }).flat()
  const answers: string[] = []
  for (const request of requests) answers.push(`${await sendBytes(request)} to ${JSON.stringify(request.slice(0, 60))}`)
  await wait(routeTimeoutMs + 500)
  await checkEntryRuns('a caller\'s byte')
  const unexpected = answers.filter((answer) => !/^HTTP\/1\.1 (?:200|400|404) /.test(answer))
  assert.deepEqual([...new Set(unexpected)], [])
})

test('no byte in a name, a value or the reason of an answer ends an entry or changes an answer', async () => {
  for (const head of listSpoiledBytes()) {
    const statuses = await checkLookUps(head)
    assert.deepEqual(statuses.filter((status) => ![200, 502, 503].includes(status)), [], head[0])
  }
})
