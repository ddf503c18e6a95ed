/**
 * Long streams whose answers end with their connection, while the entry is told to stop.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as wait } from 'node:timers/promises'
import { computeEvent } from '../../packages/stand-ins/dist/emulator/emulated-call.js'
import { emulatedModel } from '../../packages/stand-ins/dist/emulator/emulated-worker.js'
import { sendAttempt } from '../lib/caller.js'
import { Deployment } from '../lib/deployment.js'
import { runCase } from '../lib/run-case.js'

const streams = 8
const timeoutMs = 20_001
/** Time between two events, in milliseconds: a stream takes 14 s, below its deadline of 20 s. */
const eventIntervalMs = 700
const stopAfterMs = 3000

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, hasTrouble, deployments) => {
  const deployment = new Deployment(record, [{ name: 'plans', pathPrefix: '/plans/', type: 'streaming', service: 'model', resumable: true, timeoutMs, sloMs: 500, itlTargetMs: 1000, sticky: true }], ['model'])
  deployments.push(deployment)
  await deployment.begin()
  deployment.fleet.isCloseDelimited = true
  await deployment.addModels(2)
  const entry = await deployment.addEntry()
  await deployment.waitUntilReady()
  await wait(2000)
  for (const model of deployment.models) model.eventIntervalMs = eventIntervalMs
  const sendStream = async (number) => {
    const call = { target: `/plans/${number}`, body: `plan ${number}` }
    const answer = await sendAttempt({ address: deployment.getAddress(entry), host: deployment.host, key: deployment.key, timeoutMs, headers: { Model: 'm', 'Token-Usage': '100,60' }, ...call })
    record.add(`stream ${number}, attempt ${answer.id}: ended with status ${answer.status} and ${answer.body.split('\n\n').length - 1} of ${emulatedModel.events} events, ${answer.isComplete ? 'complete' : 'broken off'}${answer.error === '' ? '' : ` (${answer.error})`}`)
    const expected = Array.from({ length: emulatedModel.events }, (_, index) => computeEvent(call, index + 1)).join('')
    return { number, answer, isWhole: answer.body === expected }
  }
  const sent = Array.from({ length: streams }, (_, index) => sendStream(index + 1))
  await wait(stopAfterMs)
  if (hasTrouble) deployment.signal(entry, process.env.SIGNAL ?? 'SIGTERM')
  const results = await Promise.all(sent)
  const framings = new Set(results.map(({ answer: { headers } }) => headers['transfer-encoding'] ?? headers['content-length'] ?? 'ends with the connection'))
  record.add(`framing of the answers: ${[...framings].join(', ')}`)
  if (results.some(({ answer }) => answer.status !== 200)) throw new Error('a stream did not begin')
  return results.filter(({ answer, isWhole }) => answer.status === 200 && answer.isComplete && !isWhole)
    .map(({ number, answer }) => `ORDER: stream ${number}, attempt ${answer.id}, ended as complete before its last piece`)
})
