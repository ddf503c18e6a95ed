/**
 * Bookings and look-ups at three endpoints, one of which breaks off some of its answers: these have no length and are reset
 * half-way.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as wait } from 'node:timers/promises'
import { createConnection, sendAttempt } from '../lib/caller.js'
import { Deployment } from '../lib/deployment.js'
import { FaultShare } from '../lib/fault-share.js'
import { runCase } from '../lib/run-case.js'
import { computeAnswer } from '../lib/service-worker.js'

const callers = 12
const runMs = 24_000
const pauseMs = 20
/** Windows of the disruption, as on the sheets: 5 s each, with pauses between. */
const faultMs = 5000
const calmMs = 1000
/** Share of the answers that are broken off, as on the sheets. */
const breakShare = 0.05

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, hasTrouble, deployments) => {
  const deployment = new Deployment(record, [
    { name: 'bookings', pathPrefix: '/bookings/', type: 'non_idempotent', service: 'desk' },
    { name: 'lookups', pathPrefix: '/lookups/', type: 'idempotent', service: 'desk' }
  ], ['desk'])
  deployments.push(deployment)
  await deployment.begin()
  await deployment.addWorkers('desk', 3)
  const entry = await deployment.addEntry()
  await deployment.waitUntilReady()
  const startMs = record.now()
  const broken = new Map()
  const [faulty] = deployment.workers
  const share = new FaultShare(breakShare)
  faulty.findFault = (call) => {
    const isFaultTime = (record.now() - startMs) % (calmMs + faultMs) > calmMs
    if (!hasTrouble || !isFaultTime || !share.takeNext()) return undefined
    broken.set(call.id, faulty.id)
    return { breakOff: true }
  }
  const results = []
  const callRepeatedly = async (caller) => {
    const agent = createConnection()
    for (let number = 1; record.now() - startMs < runMs; number++) {
      const call = (caller + number) % 2 === 0
        ? { method: 'POST', target: `/bookings/${caller}-${number}`, body: `slot ${caller}-${number}` }
        : { method: 'GET', target: `/lookups/${caller}-${number}`, body: '' }
      const answer = await sendAttempt({ address: deployment.getAddress(entry), host: deployment.host, key: deployment.key, agent, ...call })
      results.push({ answer, isWhole: answer.body === computeAnswer(call) })
      await wait(pauseMs)
    }
    agent.destroy()
  }
  await Promise.all(Array.from({ length: callers }, (_, caller) => callRepeatedly(caller)))
  const answered = results.filter(({ answer }) => answer.status === 200 && answer.isComplete).length
  if ((hasTrouble && broken.size === 0) || answered < results.length / 2) throw new Error(`${broken.size} answers reset, ${answered} of ${results.length} attempts answered`)
  for (const { answer } of results) {
    if (broken.has(answer.id)) record.add(`${answer.id}: an answer of ${broken.get(answer.id)} was reset half-way; the caller got status ${answer.status}, ${answer.body.length} bytes, ${answer.isComplete ? 'complete' : 'broken off'}`)
  }
  record.add(`${results.length} attempts, ${broken.size} answers reset half-way: ${share.describe()}`)
  return results.filter(({ answer, isWhole }) => answer.status === 200 && answer.isComplete && !isWhole)
    .map(({ answer }) => `MIXED: attempt ${answer.id} was answered 200 with ${answer.body.length} bytes as complete, after its endpoint's answer was reset`)
})
