/**
 * Commands for operators, which call the admin servers of running processes.
 */
import { writeFileSync } from 'node:fs'
import { compareTimestamps, createError, getErrorMessage } from '@clementineloft/kernel'
import type { JournalEvent } from '@clementineloft/kernel'
import { HttpClient } from '../adapters/http-client.js'
import type { Problem } from '../callers/http-server.js'

const adminTimeoutMs = 10_000
const microsecondsPerMillisecond = 1000

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const callAdmin = async <T>(adminUrl: string, method: string, path: string, body?: unknown): Promise<T> => {
  const reply = await new HttpClient().sendJson(method, new URL(path, adminUrl), body, adminTimeoutMs)
  const parsed = JSON.parse(reply.body.toString()) as T | Problem
  if (reply.status < 300) return parsed as T
  const problem = parsed as Problem
  throw createError(problem.kind, `${problem.title}: ${problem.detail}`, { outcome: problem.outcome })
}

/**
 * Proposes a plan and prints it.
 *
 * @param adminUrl - admin URL of an entry
 * @param intent - text of the operator's request
 */
export const runPlanCommand = async (adminUrl: string, intent: string): Promise<void> => {
  const plan = await callAdmin<{ id: string, basedOn: number, summary: string[] }>(adminUrl, 'POST', '/plans', { intent })
  print(`plan ${plan.id}, based on revision ${plan.basedOn}:`)
  for (const line of plan.summary) print(`  ${line}`)
  print(`nothing has changed yet; to apply the plan, run: clementineloft confirm ${adminUrl} ${plan.id}`)
}

/**
 * Confirms a plan and prints the resulting revision.
 *
 * @param adminUrl - admin URL of an entry
 * @param plan - identity of the plan
 */
export const runConfirmCommand = async (adminUrl: string, plan: string): Promise<void> => {
  const { revision } = await callAdmin<{ revision: number }>(adminUrl, 'POST', '/confirmations', { plan })
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

/** Prints the state of each process; a process that does not answer sets the exit code to 1. */
export const runStatusCommand = async (adminUrls: readonly string[]): Promise<void> => {
  for (const adminUrl of adminUrls) {
    try {
      const status = await callAdmin<Status>(adminUrl, 'GET', '/status')
      const serving = status.instances.filter((instance) => instance.isServing).length
      print(`${status.instance}: ${status.isLeaving ? 'leaving' : 'serving'}, data centre ${status.dataCentre}, revision ${status.revision}, sees ${serving} of ${status.instances.length} instances serving`)
    } catch (error) {
      print(`${adminUrl}: ${getErrorMessage(error)}`)
      process.exitCode = 1
    }
  }
}

/** Filter and output format of the timeline. */
export interface TimelineFilter {
  request?: string
  team?: string
  endpoint?: string
  /** File to which the events are written in the Chrome trace format, instead of printing them. */
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
 * Collects the events of processes and prints them in causal order. A process that does not answer sets the exit code
 * to 1.
 *
 * @param adminUrls - admin URLs of the processes
 * @param filter - selects the events and the output format
 */
export const runTimelineCommand = async (adminUrls: readonly string[], filter: TimelineFilter): Promise<void> => {
  const responses = await Promise.allSettled(adminUrls.map(async (adminUrl) => await callAdmin<JournalEvent[]>(adminUrl, 'GET', '/timeline')))
  responses.forEach((result, index) => {
    if (result.status === 'fulfilled') return
    process.stderr.write(`${adminUrls[index]}: ${getErrorMessage(result.reason)}\n`)
    process.exitCode = 1
  })
  const events = responses
    .flatMap((result) => result.status === 'fulfilled' ? result.value : [])
    .filter((event) => matchEvent(event, filter))
    .sort((a, b) => compareTimestamps(a.at, b.at))
  if (filter.chrome === undefined) events.forEach((event) => { print(formatEvent(event)) })
  else writeFileSync(filter.chrome, JSON.stringify(createTrace(events)))
}
