/**
 * Measures goodput and refusals under overload, with and without a retry budget and admission limits by class.
 */
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import { AdmissionControl, RetryBudget } from '@clementineloft/routing'
import type { MeasuredTable } from './table.js'

const seed = 5
const seconds = 60
const stepSeconds = 0.05
const endpoints = 20
const places = 40
const holdSeconds = 4
const retryDelaySeconds = 0.5
const capacity = endpoints * places / holdSeconds
const classes = ['paying', 'late', 'unpaid'] as const
const classFactors: Record<string, number> = { paying: 16, late: 5, unpaid: 1 }

/** How an entry and its endpoints handle overload. */
interface RetryStrategy {
  name: string
  /** Maximum retries of one request by the entry at other endpoints. */
  maxRetries: number
  hasBudget: boolean
  hasClassLimits: boolean
}

const strategies: RetryStrategy[] = [
  { name: 'any place, 5 retries each', maxRetries: 5, hasBudget: false, hasClassLimits: false },
  { name: 'any place, retry budget', maxRetries: 5, hasBudget: true, hasClassLimits: false },
  { name: 'places limited by class, retry budget (ours)', maxRetries: 5, hasBudget: true, hasClassLimits: true }
]

/** Work of refusing a request, as a fraction of the work of serving it. */
const refusalCost = 0.02

interface Outcome {
  goodput: number
  /** Attempts per arrival. */
  amplification: number
  servedShare: Map<string, number>
}

/** Simulates one minute of load, as a multiple of the capacity. A caller whose request is refused retries once. */
const runLoad = (strategy: RetryStrategy, load: number, failedFrom?: number): Outcome => {
  const random = new SeededRandom(seed)
  const clock = new ManualClock()
  const budget = new RetryBudget(0.2, 1, 50, clock)
  const admissions = Array.from({ length: endpoints }, () => new AdmissionControl(() => places, (team) => strategy.hasClassLimits ? classFactors[team] as number : Infinity))
  const spentOnRefusals = new Array<number>(endpoints).fill(0)
  const running: Array<{ endpoint: number, team: string, remainingSeconds: number }> = []
  const pendingRetries: Array<{ at: number, team: string }> = []
  const arrived = new Map<string, number>(classes.map((name) => [name, 0]))
  const served = new Map<string, number>(classes.map((name) => [name, 0]))
  let attempts = 0
  let completed = 0
  const held = new Array<number>(endpoints).fill(0)
  const pickBetter = (first: number, second: number): number => (held[second] as number) < (held[first] as number) ? second : first
  const startRequest = (team: string, isFirstCall: boolean, now: number): void => {
    for (let attempt = 0; attempt <= strategy.maxRetries; attempt++) {
      if (attempt > 0 && strategy.hasBudget && !budget.take()) break
      const liveEndpoints = failedFrom !== undefined && now > failedFrom ? endpoints / 2 : endpoints
      const endpoint = pickBetter(random.pickInteger(liveEndpoints), random.pickInteger(liveEndpoints))
      attempts++
      const admission = admissions[endpoint] as AdmissionControl
      if (!admission.canAdmit(team)) {
        spentOnRefusals[endpoint] = (spentOnRefusals[endpoint] as number) + refusalCost * holdSeconds
        continue
      }
      admission.add(team)
      held[endpoint] = (held[endpoint] as number) + 1
      running.push({ endpoint, team, remainingSeconds: holdSeconds * (0.5 + random.next()) })
      return
    }
    if (isFirstCall) pendingRetries.push({ at: now + retryDelaySeconds, team })
  }
  for (let now = 0; now < seconds; now += stepSeconds) {
    clock.advance(stepSeconds * 1000)
    for (let due = load * capacity * stepSeconds; due > random.next(); due--) {
      const team = random.pickItem(classes)
      arrived.set(team, (arrived.get(team) as number) + 1)
      startRequest(team, true, now)
    }
    while ((pendingRetries[0]?.at ?? Infinity) <= now) startRequest((pendingRetries.shift() as { team: string }).team, false, now)
    for (let index = running.length - 1; index >= 0; index--) {
      const work = running[index] as { endpoint: number, team: string, remainingSeconds: number }
      const slowdown = Math.min(1, (spentOnRefusals[work.endpoint] as number) / places / stepSeconds)
      work.remainingSeconds -= stepSeconds * (1 - slowdown)
      if (work.remainingSeconds > 0) continue
      running.splice(index, 1)
      admissions[work.endpoint]?.remove(work.team)
      held[work.endpoint] = (held[work.endpoint] as number) - 1
      budget.recordSuccess()
      completed++
      served.set(work.team, (served.get(work.team) as number) + 1)
    }
    spentOnRefusals.fill(0)
  }
  const total = [...arrived.values()].reduce((sum, value) => sum + value, 0)
  const servedShare = new Map(classes.map((name) => [name, (served.get(name) as number) / (arrived.get(name) as number)]))
  return { goodput: completed / seconds / capacity, amplification: attempts / total, servedShare }
}

/** Measures loads from half to four times the capacity, and the loss of half of the endpoints. */
export const measureOverload = (): MeasuredTable => {
  const rows = strategies.flatMap((strategy) => [0.5, 1, 2, 4].map((load) => {
    const { goodput, amplification, servedShare } = runLoad(strategy, load)
    return [strategy.name, load, `${(100 * goodput).toFixed(0)}%`, amplification.toFixed(2), ...classes.map((name) => `${(100 * (servedShare.get(name) as number)).toFixed(0)}%`)]
  }))
  const failed = strategies.map((strategy) => {
    const { goodput, amplification, servedShare } = runLoad(strategy, 0.9, 20)
    return [strategy.name, '0.9, half lost at 20 s', `${(100 * goodput).toFixed(0)}%`, amplification.toFixed(2), ...classes.map((name) => `${(100 * (servedShare.get(name) as number)).toFixed(0)}%`)]
  })
  return {
    title: 'Overload: goodput, attempts for each request, and who is served',
    note: `${endpoints} endpoints of ${places} places, requests of ${holdSeconds} s on average, a third from each class; a refusal costs 2% of a request's work; endpoints by the better of two; refused callers retry once; seed ${seed}. The last three columns: share of the requests of a class that was served.`,
    columns: ['strategy', 'offered', 'goodput', 'attempts', ...classes],
    rows: [...rows, ...failed]
  }
}
