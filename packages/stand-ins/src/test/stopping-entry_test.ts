/**
 * Entries that end while they answer callers: by SIGTERM at the end of their grace period, or by SIGKILL. The tests guard
 * against answers that are cut and look complete, and against calls that an endpoint runs and that get no answer.
 */
import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { after, before, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { computeEvent } from '../emulator/emulated-call.js'
import { sendCall } from '../emulator/emulated-caller.js'
import type { CallerAnswer } from '../emulator/emulated-caller.js'
import { emulatedHost, emulatedKeys, EmulatedPlatform } from '../emulator/emulated-platform.js'
import { emulatedModel } from '../emulator/emulated-worker.js'

/** Time between two events, in milliseconds: a stream lasts 10 s, longer than the grace period of 6 s. */
const slowEventIntervalMs = 500
const streamTimeoutMs = 15_000
const streamCount = 6
/** Time after SIGTERM from which no call is passed on, in milliseconds: too little of the grace period is left. */
const lateMs = 3500
/** Time that a call takes which outlives the grace period, in milliseconds. */
const outlivingMs = 12_000

const platform = new EmulatedPlatform({ network: '127.77', entries: 2, workers: 4, services: 2 })

before(async () => {
  platform.addRoute('long', { pathPrefix: '/long/', type: 'streaming', service: 'model', resumable: true, timeoutMs: streamTimeoutMs, sloMs: 500 })
  await platform.start()
})
after(async () => { await platform.stop() })

const restartEntry = async (name: string): Promise<void> => {
  await platform.processes.waitForExit(name)
  platform.restartProcess(name)
  await platform.waitUntilReady()
}

const computeStream = (target: string): string =>
  Array.from({ length: emulatedModel.events }, (_, index) => computeEvent({ target, body: 'x' }, index + 1)).join('')

const sendLongStreams = (): Array<Promise<CallerAnswer>> => Array.from({ length: streamCount }, async (_, index) => await sendCall({
  address: platform.getEntryAddress(1), host: emulatedHost, target: `/long/${index}`, body: 'x', key: emulatedKeys.prairie, headers: { 'token-usage': '100,60' }, timeoutMs: streamTimeoutMs
}))

const checkCutStreams = async (signal: 'SIGTERM' | 'SIGKILL', isCloseDelimited: boolean): Promise<void> => {
  for (const worker of platform.workers) worker.eventIntervalMs = slowEventIntervalMs
  platform.fleet.isCloseDelimited = isCloseDelimited
  const sent = sendLongStreams()
  await wait(3 * slowEventIntervalMs)
  platform.processes.signal('entry-1', signal)
  const answers = await Promise.all(sent)
  platform.fleet.isCloseDelimited = false
  for (const worker of platform.workers) worker.eventIntervalMs = emulatedModel.eventIntervalMs
  for (const [index, { status, body, isComplete }] of answers.entries()) {
    const whole = computeStream(`/long/${index}`)
    assert.deepEqual([status, whole.startsWith(body), body.length < whole.length], [200, true, true], `stream ${index}`)
    assert.equal(isComplete, false, `stream ${index} looks complete with ${body.length} of ${whole.length} bytes after ${signal}`)
  }
  await restartEntry('entry-1')
}

test('streams that end with their endpoint\'s connection do not look complete when a stopping entry cuts them', async () => {
  await checkCutStreams('SIGTERM', true)
})

test('streams that end with their endpoint\'s connection do not look complete when their entry is killed', async () => {
  await checkCutStreams('SIGKILL', true)
})

test('streams in chunks do not look complete when a stopping entry cuts them', async () => {
  await checkCutStreams('SIGTERM', false)
})

const listRuns = (): string[] => platform.services.flatMap((service) => service.runs)

const countRuns = (id: string): number => listRuns().filter((run) => run === id).length

/** Sends calls one after another over a kept connection until the process is gone. */
const callUntilGone = async (caller: number, answers: CallerAnswer[], isGone: () => boolean): Promise<void> => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let number = 0; !isGone(); number++) {
    const isBooking = (caller + number) % 2 === 0
    const answer = await sendCall({
      address: platform.getEntryAddress(2), host: emulatedHost, target: `/${isBooking ? 'bookings' : 'lookups'}/${caller}-${number}`, key: emulatedKeys.prairie, agent, ...(isBooking ? { body: 'x' } : { method: 'GET' })
    })
    answers.push(answer)
    await wait(answer.status === 0 ? 20 : 5)
  }
  agent.destroy()
}

test('a call that comes late in the grace period is answered, or has reached no endpoint', async () => {
  platform.addRoute('slow-bookings', { pathPrefix: '/slow/', type: 'non_idempotent', service: 'desk', maxAttempts: 1, timeoutMs: 20_000 })
  platform.writeConfig()
  await wait(600)
  let isGone = false
  const answers: CallerAnswer[] = []
  const callers = Array.from({ length: 12 }, async (_, caller) => { await callUntilGone(caller, answers, () => isGone) })
  for (const service of platform.services) service.getProcessingMs = (target) => target.startsWith('/slow/') ? outlivingMs : 10
  await wait(300)
  platform.processes.signal('entry-2', 'SIGTERM')
  // Heads come over the first half of the grace period, some bodies only at its end.
  const slow = Array.from({ length: 12 }, async (_, index): Promise<CallerAnswer> => {
    await wait(index * 250)
    return await sendCall({ address: platform.getEntryAddress(2), host: emulatedHost, target: `/slow/${index}`, key: emulatedKeys.prairie, body: 'x', timeoutMs: 20_000, bodyDelayMs: index % 3 * 1500 })
  })
  await wait(lateMs)
  const runsBeforeLate = listRuns().length
  const code = await platform.processes.waitForExit('entry-2')
  isGone = true
  await Promise.all(callers)
  assert.deepEqual([code, listRuns().length], [0, runsBeforeLate], `calls were passed on later than ${lateMs} ms after SIGTERM`)
  answers.push(...await Promise.all(slow))
  for (const { id, status } of answers) {
    if (status === 0) assert.equal(countRuns(id), 0, `${id} reached an endpoint and got no answer`)
    if (status === 503) assert.equal(countRuns(id), 0, `${id} ran and was answered as not run`)
  }
  assert.ok(answers.some(({ status }) => status === 503) && answers.some(({ status }) => status === 502), 'no call came late or outlived the grace period')
  for (const service of platform.services) service.getProcessingMs = () => 10
  platform.restartProcess('entry-2')
  await platform.waitUntilReady()
})
