/**
 * Endpoints that refuse calls and ask for a pause. The tests guard against repeats and new calls that pile up at an endpoint
 * which has said that it wants none for a while.
 */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { sendCall } from '../emulator/emulated-caller.js'
import type { CallerAnswer } from '../emulator/emulated-caller.js'
import { emulatedHost, emulatedKeys, EmulatedPlatform } from '../emulator/emulated-platform.js'
import { waitUntil } from '../lib/wait-until.js'

const pauseS = 3
/** Time after the first refusal from which the pause must be kept, in milliseconds, as the platform states it. */
const noticeMs = 500
/** Number of calls that may reach an endpoint from one entry in the pause, as the platform states it. */
const allowedCalls = 2
const callIntervalMs = 25

const platform = new EmulatedPlatform({ network: '127.78', entries: 1, workers: 4, services: 3 })

before(async () => {
  await platform.start()
  // The retry budget of a service follows its requests.
  for (let call = 0; call < 60; call++) await send('/lookups/warm', 'GET')
})
after(async () => { await platform.stop() })

const send = async (target: string, method = 'POST'): Promise<CallerAnswer> => await sendCall({
  address: platform.getEntryAddress(1), host: emulatedHost, target, key: emulatedKeys.prairie, method, timeoutMs: 3000, headers: { 'token-usage': '100,60' }, ...(method === 'POST' ? { body: 'x' } : {})
})

/** Sends calls while the endpoints ask for a pause, and counts the arrivals within it at each of them. */
const countArrivals = async (sendNext: (call: number) => Promise<CallerAnswer>, listArrivals: () => number[]): Promise<{ arrivals: number[], answers: CallerAnswer[] }> => {
  const startMs = performance.now()
  const sent: Array<Promise<CallerAnswer>> = []
  let atNotice: number[] | undefined
  while (performance.now() - startMs < pauseS * 1000 - noticeMs) {
    sent.push(sendNext(sent.length))
    await wait(callIntervalMs)
    if (performance.now() - startMs > noticeMs) atNotice ??= listArrivals()
  }
  const atEnd = listArrivals()
  return { arrivals: atEnd.map((count, index) => count - (atNotice?.[index] ?? 0)), answers: await Promise.all(sent) }
}

test('calls of a plain service do not pile up at endpoints that ask for a pause, are refused at once, and are served after it', async () => {
  for (const service of platform.services) service.pauseS = pauseS
  const listArrivals = (): number[] => platform.services.map((service) => service.connections.size)
  const { arrivals, answers } = await countArrivals(async (call) => await send(`/lookups/${call}`, 'GET'), listArrivals)
  for (const service of platform.services) service.pauseS = undefined
  assert.deepEqual(arrivals.filter((count) => count > allowedCalls), [], `${arrivals.join(', ')} arrivals in the pause`)
  assert.deepEqual([...new Set(answers.map(({ status }) => status))], [503])
  assert.ok(await waitUntil(async () => (await send('/lookups/after', 'GET')).status === 200))
})

test('calls go to the endpoints that ask for no pause', async () => {
  const [paused] = platform.services as [typeof platform.services[number]]
  await waitUntil(async () => (await send('/lookups/before', 'GET')).status === 200)
  paused.pauseS = pauseS
  const { arrivals, answers } = await countArrivals(async (call) => await send(`/lookups/${call}`, 'GET'), () => [paused.connections.size])
  paused.pauseS = undefined
  assert.ok((arrivals[0] as number) <= allowedCalls, `${arrivals[0]} arrivals in the pause`)
  assert.deepEqual(answers.filter(({ status }) => status !== 200).map(({ status }) => status), [])
})

test('streams do not pile up at model endpoints that ask for a pause', async () => {
  for (const worker of platform.workers) worker.pauseS = pauseS
  const { arrivals } = await countArrivals(async (call) => await send(`/streams/${call}`), () => platform.workers.map((worker) => worker.refused.length))
  for (const worker of platform.workers) worker.pauseS = undefined
  assert.deepEqual(arrivals.filter((count) => count > allowedCalls), [], `${arrivals.join(', ')} arrivals in the pause`)
  assert.ok(await waitUntil(async () => (await send('/streams/after')).status === 200))
})
