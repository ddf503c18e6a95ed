/**
 * Goodput and refusals under overload, with and without a retry budget and admission by terms.
 */
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import { Admission, RetryBudget } from '@clementineloft/routing'
import type { MeasuredTable } from './table.js'

const seed = 5
const seconds = 60
const stepSeconds = 0.05
const endpoints = 20
const places = 40
const holdSeconds = 4
const impatienceSeconds = 0.5
const capacity = endpoints * places / holdSeconds
const classes = ['paying', 'late', 'unpaid'] as const
const freeFactors: Record<string, number> = { paying: 16, late: 5, unpaid: 1 }

/** How refusals are handled. */
interface Way {
  name: string
  /** Retries by the entry at other endpoints for one request. */
  maxRetries: number
  hasBudget: boolean
  hasTerms: boolean
}

const ways: Way[] = [
  { name: 'any place, 5 retries each', maxRetries: 5, hasBudget: false, hasTerms: false },
  { name: 'any place, retry budget', maxRetries: 5, hasBudget: true, hasTerms: false },
  { name: 'places by terms, retry budget (ours)', maxRetries: 5, hasBudget: true, hasTerms: true }
]

/** Work that an endpoint spends on refusing, as a share of a request's work. */
const refusalCost = 0.02

interface Outcome {
  goodput: number
  /** Attempts for each arrival. */
  amplification: number
  servedShare: Map<string, number>
}

/** Offers a load for a minute; callers of refused requests come back once. */
const runLoad = (way: Way, load: number, failedFrom?: number): Outcome => {
  const random = new SeededRandom(seed)
  const clock = new ManualClock()
  const budget = new RetryBudget(0.2, 1, 50, clock)
  const admissions = Array.from({ length: endpoints }, () => new Admission(() => places, (team) => way.hasTerms ? freeFactors[team] as number : Infinity))
  const spentOnRefusals = new Array<number>(endpoints).fill(0)
  const running: Array<{ endpoint: number, team: string, left: number }> = []
  const returning: Array<{ at: number, team: string }> = []
  const arrived = new Map<string, number>(classes.map((name) => [name, 0]))
  const served = new Map<string, number>(classes.map((name) => [name, 0]))
  let attempts = 0
  let completed = 0
  const held = new Array<number>(endpoints).fill(0)
  const pickBetter = (first: number, second: number): number => (held[second] as number) < (held[first] as number) ? second : first
  const startSomewhere = (team: string, isFresh: boolean, now: number): void => {
    for (let attempt = 0; attempt <= way.maxRetries; attempt++) {
      if (attempt > 0 && way.hasBudget && !budget.take()) break
      const up = failedFrom !== undefined && now > failedFrom ? endpoints / 2 : endpoints
      const endpoint = pickBetter(random.pickInteger(up), random.pickInteger(up))
      attempts++
      const admission = admissions[endpoint] as Admission
      if (!admission.canAdmit(team)) {
        spentOnRefusals[endpoint] = (spentOnRefusals[endpoint] as number) + refusalCost * holdSeconds
        continue
      }
      admission.add(team)
      held[endpoint] = (held[endpoint] as number) + 1
      running.push({ endpoint, team, left: holdSeconds * (0.5 + random.next()) })
      return
    }
    if (isFresh) returning.push({ at: now + impatienceSeconds, team })
  }
  for (let now = 0; now < seconds; now += stepSeconds) {
    clock.advance(stepSeconds * 1000)
    for (let due = load * capacity * stepSeconds; due > random.next(); due--) {
      const team = random.pickItem(classes)
      arrived.set(team, (arrived.get(team) as number) + 1)
      startSomewhere(team, true, now)
    }
    while ((returning[0]?.at ?? Infinity) <= now) startSomewhere((returning.shift() as { team: string }).team, false, now)
    for (let index = running.length - 1; index >= 0; index--) {
      const work = running[index] as { endpoint: number, team: string, left: number }
      const slow = Math.min(1, (spentOnRefusals[work.endpoint] as number) / places / stepSeconds)
      work.left -= stepSeconds * (1 - slow)
      if (work.left > 0) continue
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

/** Measures loads from half of the capacity to four times it, and the loss of half of the endpoints. */
export const measureOverload = (): MeasuredTable => {
  const rows = ways.flatMap((way) => [0.5, 1, 2, 4].map((load) => {
    const { goodput, amplification, servedShare } = runLoad(way, load)
    return [way.name, load, `${(100 * goodput).toFixed(0)}%`, amplification.toFixed(2), ...classes.map((name) => `${(100 * (servedShare.get(name) as number)).toFixed(0)}%`)]
  }))
  const failed = ways.map((way) => {
    const { goodput, amplification, servedShare } = runLoad(way, 0.9, 20)
    return [way.name, '0.9, half lost at 20 s', `${(100 * goodput).toFixed(0)}%`, amplification.toFixed(2), ...classes.map((name) => `${(100 * (servedShare.get(name) as number)).toFixed(0)}%`)]
  })
  return {
    title: 'Overload: goodput, attempts for each request, and who is served',
    note: `${endpoints} endpoints of ${places} places, requests of ${holdSeconds} s on average, a third from each class; a refusal costs 2% of a request's work; endpoints by the better of two; refused callers come back once; seed ${seed}. The last three columns: share of the requests of a class that was served.`,
    columns: ['way', 'offered', 'goodput', 'attempts', ...classes],
    rows: [...rows, ...failed]
  }
}
