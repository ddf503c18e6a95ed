/**
 * Guards against a call that crashes endpoint after endpoint: each entry and each repeat of the caller, which carries a new
 * identity, began without any memory of the crashes before.
 */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { sendCall } from '../emulator/emulated-caller.js'
import type { CallerAnswer, CallerRequest } from '../emulator/emulated-caller.js'
import { emulatedHost, emulatedKeys, EmulatedPlatform } from '../emulator/emulated-platform.js'
import { emulatedModel } from '../emulator/emulated-worker.js'
import { waitUntil } from '../lib/wait-until.js'

/** Time after the third crash from which the bound holds, in milliseconds. */
const contactMs = 3000
/** Maximum number of runs after that time. */
const maxLaterRuns = 3
const observedCrashes = 3
const entryCount = 3
const laterRepeats = 15
/** Status of a refused repeat. */
const refusedStatus = 429
/** Time in which an entry that has started learns of earlier crashes, in milliseconds: two report requests. */
const noticeTimeoutMs = 2000

const platform = new EmulatedPlatform({ network: '127.73', entries: entryCount, workers: 8, services: 3 })

before(async () => { await platform.start() })
after(async () => { await platform.stop() })

let sentCalls = 0

/** Sends a call to the entries in turn. */
const send = async (target: string, body: string, changes: Partial<CallerRequest> = {}): Promise<CallerAnswer> =>
  await sendCall({ address: platform.getEntryAddress(1 + sentCalls++ % entryCount), host: emulatedHost, target, key: emulatedKeys.prairie, body, ...changes })

const countRuns = (ids: ReadonlySet<string>): number =>
  [...platform.workers, ...platform.services].flatMap((endpoint) => endpoint.runs).filter((run) => ids.has(run)).length

const streamChanges = { headers: { 'token-usage': '100,60' }, timeoutMs: 8000 }

const cases = [
  { kind: 'stream', target: '/streams/same', changes: streamChanges },
  { kind: 'look-up', target: '/lookups/same', changes: {} },
  { kind: 'booking', target: '/bookings/same', changes: {} }
]

for (const { kind, target, changes } of cases) {
  test(`a ${kind} that has crashed three endpoints is not sent to endpoint after endpoint, whichever entry gets its repeats`, async () => {
    const body = `crashes-${kind}`
    platform.fleet.crashTriggers.bodies.add(body)
    const ids = new Set<string>()
    const repeat = async (): Promise<number> => {
      const answer = await send(target, body, changes)
      ids.add(answer.id)
      return answer.status
    }
    await waitUntil(async () => {
      await repeat()
      return countRuns(ids) >= observedCrashes
    }, contactMs)
    const earlyRuns = countRuns(ids)
    await wait(contactMs)
    const statuses: number[] = []
    for (let number = 0; number < laterRepeats; number++) {
      statuses.push(await repeat())
      await wait(150)
    }
    const laterRuns = countRuns(ids) - earlyRuns
    const sound = await send(target, `sound-${kind}`, changes)
    platform.fleet.crashTriggers.bodies.delete(body)
    assert.ok(laterRuns <= maxLaterRuns, `${laterRuns} runs after ${earlyRuns} crashes; answers ${statuses.join(' ')}; logs in ${platform.processes.folder}`)
    assert.equal(sound.status, 200, `a sound ${kind} of the same team and route is served`)
    assert.ok(await waitUntil(() => platform.workers.every((worker) => worker.isAlive() && worker.layers !== null), 10 * emulatedModel.loadMs))
  })
}

test('an entry that has just started refuses a call that crashed endpoints before', async () => {
  const body = 'crashes-before-the-start'
  platform.fleet.crashTriggers.bodies.add(body)
  const ids = new Set<string>()
  const repeat = async (address: string): Promise<number> => {
    const answer = await send('/streams/same', body, { ...streamChanges, address })
    ids.add(answer.id)
    return answer.status
  }
  assert.ok(await waitUntil(async () => await repeat(platform.getEntryAddress(2)) === refusedStatus, contactMs))
  const runsBefore = countRuns(ids)
  platform.processes.signal('entry-1', 'SIGKILL')
  await platform.processes.waitForExit('entry-1')
  platform.restartProcess('entry-1')
  await platform.waitUntilReady()
  await wait(noticeTimeoutMs)
  assert.equal(await repeat(platform.getEntryAddress(1)), refusedStatus)
  assert.equal(countRuns(ids), runsBefore)
})
