/**
 * One byte of one report of a model worker is wrong while the worker loads further layers.
 */
import { Agent } from 'node:http'
import { dirname } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { createAttemptId, sendRequest } from '../harness-2/client.mjs'
import { host, keys, runCase } from '../harness-2/system.mjs'

/** Clients at each entry, by path; each keeps its connection and sends one request after another. */
const clientsPerEntry = { '/plans/x': 8, '/bookings/x': 24 }
const workMs = 40
/** Time that the model workers take to load further layers, in milliseconds. */
const loadMs = 5000
const calmMs = 15_000
const troubleMs = 10_000
const model = { layers: 118, layerMb: 100, sizeMb: 9000 }
/** Number of requests of kept connections that are lost at most. */
const maxLost = 3

/** Sends requests over one kept connection until the process ends or the time is over. */
const runClient = async (entry, path, untilMs, answers) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  while (Date.now() < untilMs()) {
    const id = createAttemptId()
    const headers = { Host: host, 'Attempt-Id': id, 'Deadline-Ms': '5000', Authorization: `Bearer ${keys.first}`, 'Token-Usage': '100,30' }
    const { status, error } = await sendRequest({ address: entry.host, port: entry.port, method: 'POST', path, headers, body: 'book', agent })
    answers.push({ id, entry: entry.name, path, status, error })
    await wait(status === 200 ? 20 : 300)
  }
  agent.destroy()
}

/** The second digit of the last layer, 118, becomes an `e` in one report that the worker sends while it loads. */
const spoilOneReport = (system, worker) => {
  worker.spoilReport = (text) => {
    const spoiled = text.replace('"to":118', '"to":1e8')
    if (spoiled === text || !text.includes('"busy":true')) return text
    worker.spoilReport = (next) => next
    system.record(`${worker.id}: report ${worker.reports} is spoiled: ${spoiled}`)
    return spoiled
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, hasTrouble) => {
  await system.prepare()
  system.model = model
  system.addRoute({ name: 'plans', pathPrefix: '/plans/', type: 'streaming', resumable: true, service: 'loft-writers', timeoutMs: 20_000, sloMs: 500, itlTargetMs: 200 })
  system.addRoute({ name: 'bookings', pathPrefix: '/bookings/', type: 'non_idempotent', service: 'meetup-desk', maxAttempts: 1 })
  system.writeConfig()
  await system.addPlainWorkers(3)
  await system.addModelWorkers(3)
  await system.addEntries(2)
  await system.waitUntilReady()
  for (const worker of system.plainWorkers) worker.workMs = workMs

  const answers = []
  let endMs = Infinity
  const clients = system.entries.flatMap((entry) => Object.entries(clientsPerEntry).flatMap(([path, count]) =>
    Array.from({ length: count }, () => runClient(entry, path, () => endMs, answers))))
  await wait(calmMs)
  for (const worker of system.modelWorkers) {
    system.record(`${worker.id}: layers ${JSON.stringify(worker.layers)}, ${worker.reports} reports so far`)
    worker.loadMs = loadMs
  }
  if (hasTrouble) spoilOneReport(system, system.modelWorkers.find(({ layers }) => layers.to === model.layers))
  const leaving = system.modelWorkers.find(({ layers }) => layers.from === 0)
  leaving.isLeaving = true
  system.store.write('servers', leaving.id, leaving.createEntry())
  system.record(`store: ${leaving.id} is draining`)
  await wait(troubleMs)
  const ended = system.listEnded()
  endMs = Date.now()
  await Promise.all(clients)

  const runIds = new Set(system.plainWorkers.flatMap(({ runs }) => runs.map(({ id }) => id)))
  const lost = answers.filter(({ id, status, error }) => status === 0 && error !== undefined && runIds.has(id))
  for (const { id, entry, error } of lost) system.record(`booking ${id} at ${entry}: ran at a sound worker, and its connection ended without an answer (${error})`)
  for (const name of ended) system.record(`${name} has ended by itself: ${/FATAL ERROR.*/.exec(system.readLog(name))?.[0] ?? system.readLog(name).slice(-300)}`)
  for (const { id, reports } of system.modelWorkers) system.record(`${id}: ${reports} reports in all`)
  const served = answers.filter(({ status }) => status === 200)
  system.record(`requests: ${answers.length}, of which ${served.length} got 200; processes that ended: ${ended.length}; bookings that ran and were lost: ${lost.length}`)
  return lost.length <= maxLost
})
