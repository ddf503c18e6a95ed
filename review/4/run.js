/**
 * Look-ups over kept connections at three endpoints, one of which spoils a byte in the head of some of its answers.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as wait } from 'node:timers/promises'
import { createConnection, sendAttempt } from '../lib/caller.js'
import { Deployment } from '../lib/deployment.js'
import { FaultShare } from '../lib/fault-share.js'
import { runCase } from '../lib/run-case.js'

const callers = 24
const runMs = 12_000
const calmMs = 3000
/** Length of the disruption, as on the sheets. */
const faultMs = 5000
/** Share of the answers that are spoiled, as on the sheets. */
const spoilShare = 0.02
/** Longest pause of a client between two calls, in milliseconds. */
const maxPauseMs = 40
const answerTimeMs = 100
/** Number of requests that may be closed without an answer. */
const allowed = 3

/** Spoils one byte of the head: the hyphen of a header's name. */
const spoil = (head) => head.replace('Server-Load', 'Server Load')

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, hasTrouble, deployments) => {
  const deployment = new Deployment(record, [{ name: 'lookups', pathPrefix: '/lookups/', type: 'idempotent', service: 'desk' }], ['desk'])
  deployments.push(deployment)
  await deployment.begin()
  await deployment.addWorkers('desk', 3, { processingMs: answerTimeMs })
  const entry = await deployment.addEntry()
  await deployment.waitUntilReady()
  const startMs = record.now()
  const [faulty] = deployment.workers
  const share = new FaultShare(spoilShare)
  let spoiled = 0
  faulty.findFault = (call) => {
    const elapsedMs = record.now() - startMs
    if (!hasTrouble || elapsedMs < calmMs || elapsedMs > calmMs + faultMs) return undefined
    if (!share.takeNext()) return undefined
    spoiled++
    record.add(`${faulty.id} spoils a byte in the head of its answer to ${call.id}`)
    return { spoil }
  }
  const results = []
  const callRepeatedly = async (caller) => {
    const agent = createConnection()
    for (let number = 1; record.now() - startMs < runMs; number++) {
      const answer = await sendAttempt({ address: deployment.getAddress(entry), host: deployment.host, target: `/lookups/${caller}?n=${number}`, key: deployment.key, method: 'GET', agent })
      results.push({ answer, atMs: record.now() })
      await wait(answer.status === 0 ? 10 * maxPauseMs : Math.random() * maxPauseMs)
    }
    agent.destroy()
  }
  await Promise.all(Array.from({ length: callers }, (_, caller) => callRepeatedly(caller)))
  const answered = results.filter(({ answer }) => answer.status === 200 && answer.isComplete).length
  if ((hasTrouble && spoiled === 0) || answered < results.length / 2) throw new Error(`${spoiled} answers spoiled, ${answered} of ${results.length} attempts answered`)
  const soundRuns = new Map(deployment.workers.filter((worker) => worker !== faulty).flatMap(({ id, runs }) => runs.map((run) => [run.id, id])))
  const closed = results.filter(({ answer }) => answer.status === 0 && answer.isKept && soundRuns.has(answer.id))
  for (const { answer, atMs } of closed) record.add(`${answer.id}: sent on a kept connection, run by ${soundRuns.get(answer.id)}, closed without an answer (${answer.error}) at ${atMs.toFixed(0)} ms`)
  record.add(`${results.length} attempts, ${answered} answered with 200, ${results.filter(({ answer }) => answer.status === 0).length} without an answer`)
  record.add(`${spoiled} answers spoiled (${share.describe()}), the entry ended ${entry.exits.length} times by itself`)
  return closed.length > allowed ? [`LOST: ${closed.length} requests from kept connections were passed on to sound endpoints and closed without an answer`] : []
})
