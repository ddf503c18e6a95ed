/**
 * Commands for operators, which call the admin addresses of running processes.
 */
import { writeFileSync } from 'node:fs'
import { compareTimestamps, createError, getErrorMessage } from '@clementineloft/kernel'
import type { JournalEvent } from '@clementineloft/kernel'
import { HttpClient } from '../adapters/http-client.js'
import type { Problem } from '../callers/http-server.js'

const timeoutMs = 10_000
const microsecondsPerMillisecond = 1000

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const callAdmin = async <T>(base: string, method: string, path: string, body?: unknown): Promise<T> => {
  const reply = await new HttpClient().sendJson(method, new URL(path, base), body, timeoutMs)
  const parsed = JSON.parse(reply.body.toString()) as T | Problem
  if (reply.status < 300) return parsed as T
  const problem = parsed as Problem
  throw createError(problem.kind, `${problem.title}: ${problem.detail}`, { outcome: problem.outcome })
}

/**
 * Proposes a plan and prints it.
 *
 * @param base - admin URL of an entry
 * @param intent - the operator's words
 */
export const runPlanCommand = async (base: string, intent: string): Promise<void> => {
  const plan = await callAdmin<{ id: string, basedOn: number, summary: string[] }>(base, 'POST', '/plans', { intent })
  print(`plan ${plan.id}, made from revision ${plan.basedOn}:`)
  for (const line of plan.summary) print(`  ${line}`)
  print(`nothing has changed yet; to bring it into force: clementineloft confirm ${base} ${plan.id}`)
}

/**
 * Confirms a plan and prints the revision.
 *
 * @param base - admin URL of an entry
 * @param plan - identity of the plan
 */
export const runConfirmCommand = async (base: string, plan: string): Promise<void> => {
  const { revision } = await callAdmin<{ revision: number }>(base, 'POST', '/confirmations', { plan })
  print(`plan ${plan} is in force with revision ${revision}`)
}

interface Status {
  instance: string
  dataCentre: string
  incarnation: string
  isLeaving: boolean
  revision: number
  instances: Array<{ name: string, role: string, state: string, isServing: boolean }>
}

/** Prints the state of each process. */
export const runStatusCommand = async (bases: readonly string[]): Promise<void> => {
  for (const base of bases) {
    try {
      const status = await callAdmin<Status>(base, 'GET', '/status')
      const serving = status.instances.filter((instance) => instance.isServing).length
      print(`${status.instance}: ${status.isLeaving ? 'leaving' : 'serving'}, data centre ${status.dataCentre}, revision ${status.revision}, sees ${serving} of ${status.instances.length} instances serving`)
    } catch (error) {
      print(`${base}: ${getErrorMessage(error)}`)
      process.exitCode = 1
    }
  }
}

/** What the time line shows. */
export interface TimelineFilter {
  request?: string
  team?: string
  endpoint?: string
  /** File to write in the Chrome trace format, instead of text. */
  chrome?: string
}

const matchEvent = (event: JournalEvent, filter: TimelineFilter): boolean =>
  (filter.request === undefined || event.request === filter.request) &&
  (filter.team === undefined || event.team === filter.team) &&
  (filter.endpoint === undefined || event.endpoint === filter.endpoint || event.instance === filter.endpoint)

const formatEvent = (event: JournalEvent): string => {
  const fields = [event.request, event.team, event.endpoint, event.detail].filter((field) => field !== undefined)
  return `${new Date(event.at.wallMs).toISOString()}+${event.at.counter} ${event.instance} ${event.name} ${fields.join(' ')}`
}

const createTrace = (events: readonly JournalEvent[]): unknown => ({
  traceEvents: events.map(({ at, instance, name, ...args }) => ({
    name, ph: 'i', s: 'p', ts: at.wallMs * microsecondsPerMillisecond + at.counter, pid: instance, tid: 0, args
  }))
})

/**
 * Collects the events of processes and prints them in causal order.
 *
 * @param bases - admin URLs
 * @param filter - what to show
 */
export const runTimelineCommand = async (bases: readonly string[], filter: TimelineFilter): Promise<void> => {
  const collected = await Promise.allSettled(bases.map(async (base) => await callAdmin<JournalEvent[]>(base, 'GET', '/timeline')))
  collected.forEach((result, index) => {
    if (result.status === 'fulfilled') return
    process.stderr.write(`${bases[index]}: ${getErrorMessage(result.reason)}\n`)
    process.exitCode = 1
  })
  const events = collected
    .flatMap((result) => result.status === 'fulfilled' ? result.value : [])
    .filter((event) => matchEvent(event, filter))
    .sort((a, b) => compareTimestamps(a.at, b.at))
  if (filter.chrome === undefined) events.forEach((event) => { print(formatEvent(event)) })
  else writeFileSync(filter.chrome, JSON.stringify(createTrace(events)))
}
