/**
 * Entries that end while they answer callers: by SIGTERM at the end of their grace period, or by SIGKILL. The tests guard
 * against answers that are cut and look complete.
 */
import assert from 'node:assert/strict'
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
