/**
 * Waiting times and shares of teams at one endpoint under ways to queue.
 */
import { SeededRandom } from '@clementineloft/kernel'
import { exactFairness, FairQueue } from '@clementineloft/routing'
import type { FairnessOptions } from '@clementineloft/routing'
import { computeQuantile } from './table.js'
import type { MeasuredTable } from './table.js'

const seed = 7
const seconds = 60
const rowsPerSecond = 4000
const slots = 4

type Run = () => Promise<unknown>

/** A queue in front of an engine. */
abstract class MeasuredQueue {
  abstract add (run: Run, team: string, cost: number): void
  abstract take (): Run | undefined
  /** Whether a prompt may go on with its next chunk without queueing again. */
  continueIfNext (_team: string, _cost: number): boolean {
    return false
  }
}

/** In order of arrival. */
class FifoQueue extends MeasuredQueue {
  private readonly jobs: Run[] = []
  private next = 0

  override add (run: Run): void { this.jobs.push(run) }

  override take (): Run | undefined { return this.jobs[this.next++] ?? (this.next--, undefined) }
}

/** Higher weight first, in order of arrival among equals. */
class PriorityQueue extends MeasuredQueue {
  private readonly byWeight = new Map<number, Run[]>()

  constructor (private readonly weights: (team: string) => number) { super() }

  override add (run: Run, team: string): void {
    const weight = this.weights(team)
    const jobs = this.byWeight.get(weight) ?? []
    jobs.push(run)
    this.byWeight.set(weight, jobs)
  }

  override take (): Run | undefined {
    const weight = Math.max(-1, ...[...this.byWeight].filter(([, jobs]) => jobs.length > 0).map(([value]) => value))
    return this.byWeight.get(weight)?.shift()
  }
}

/** Fair queueing in which each chunk queues again. */
class WeightedQueue extends MeasuredQueue {
  protected readonly queue: FairQueue

  constructor (weights: (team: string) => number, options: FairnessOptions = exactFairness) {
    super()
    this.queue = new FairQueue(weights, options)
  }

  override add (run: Run, team: string, cost: number): void { this.queue.enqueue(run, { team, cost }) }

  override take (): Run | undefined { return this.queue.dequeue() }
}

/** The router's own: a prompt goes on while its team is next. */
class ContinuingQueue extends WeightedQueue {
  override continueIfNext (team: string, cost: number): boolean {
    return this.queue.continueIfNext(team, cost)
  }
}

interface TeamLoad {
  name: string
  weight: number
  /** Requests a second. */
  rate: number
  /** Positions of each prompt. */
  rows: number
}

interface PromptWork {
  team: TeamLoad
  arrivedAt: number
  /** Positions that have not started. */
  left: number
}

interface RunningChunk extends PromptWork {
  endsAt: number
}

interface Outcome {
  /** Time to the end of the prompt for each request, in milliseconds, by team. */
  waits: Map<string, number[]>
  /** Rows served by team while every team had work. */
  served: Map<string, number>
}

/** Serves prompts in chunks on a few slots of an engine, event by event. */
const runQueue = (queue: MeasuredQueue, teams: readonly TeamLoad[], chunkRows: number): Outcome => {
  const random = new SeededRandom(seed)
  const waits = new Map<string, number[]>(teams.map((team) => [team.name, []]))
  const served = new Map<string, number>(teams.map((team) => [team.name, 0]))
  const arrivals = teams.flatMap((team) => {
    const times: Array<{ at: number, team: TeamLoad }> = []
    for (let at = 0; at < seconds;) {
      at += -Math.log(1 - random.next()) / team.rate
      times.push({ at, team })
    }
    return times
  }).sort((a, b) => a.at - b.at)
  const jobs = new Map<Run, PromptWork>()
  const busy: Array<RunningChunk | undefined> = Array.from({ length: slots }, () => undefined)
  const enqueue = (team: TeamLoad, arrivedAt: number, left: number): void => {
    const run: Run = async () => {}
    jobs.set(run, { team, arrivedAt, left })
    queue.add(run, team.name, Math.min(chunkRows, left))
  }
  const start = (slot: number, work: PromptWork, now: number): void => {
    const rows = Math.min(chunkRows, work.left)
    served.set(work.team.name, (served.get(work.team.name) ?? 0) + rows)
    busy[slot] = { ...work, left: work.left - rows, endsAt: now + rows / (rowsPerSecond / slots) }
  }
  const finish = (slot: number, chunk: RunningChunk): void => {
    busy[slot] = undefined
    if (chunk.left === 0) waits.get(chunk.team.name)?.push((chunk.endsAt - chunk.arrivedAt) * 1000)
    else if (queue.continueIfNext(chunk.team.name, Math.min(chunkRows, chunk.left))) start(slot, chunk, chunk.endsAt)
    else enqueue(chunk.team, chunk.arrivedAt, chunk.left)
  }
  let next = 0
  for (let now = 0; now < seconds;) {
    for (const [slot, chunk] of busy.entries()) {
      if (chunk !== undefined && chunk.endsAt <= now) finish(slot, chunk)
    }
    for (let arrival = arrivals[next]; arrival !== undefined && arrival.at <= now; arrival = arrivals[++next]) {
      enqueue(arrival.team, arrival.at, arrival.team.rows)
    }
    for (const [slot, chunk] of busy.entries()) {
      const run = chunk === undefined ? queue.take() : undefined
      if (run !== undefined) start(slot, jobs.get(run) as PromptWork, now)
      if (run !== undefined) jobs.delete(run)
    }
    now = Math.min(arrivals[next]?.at ?? seconds, ...busy.map((chunk) => chunk?.endsAt ?? Infinity))
  }
  return { waits, served }
}

const createTeams = (count: number): TeamLoad[] => Array.from({ length: count }, (_, index) => ({
  name: `team-${index}`, weight: 1000, rate: 0.55 * rowsPerSecond / 400 / count, rows: 400
}))

const flood: TeamLoad = { name: 'flood', weight: 1, rate: 20, rows: 4000 }
const burst: TeamLoad = { name: 'rival', weight: 1000, rate: 30, rows: 400 }

const createQueues = (teams: readonly TeamLoad[]): Array<[string, MeasuredQueue, number]> => {
  const weights = new Map(teams.map((team) => [team.name, team.weight]))
  const getWeight = (team: string): number => weights.get(team) as number
  return [
    ['first come, first served', new FifoQueue(), Infinity],
    ['strict priority', new PriorityQueue(getWeight), Infinity],
    ['weighted fair, whole prompts', new WeightedQueue(getWeight), Infinity],
    ['weighted fair, chunks of 256', new WeightedQueue(getWeight), 256],
    ['weighted fair, chunks of 64', new WeightedQueue(getWeight), 64],
    ['the same, going on while next', new ContinuingQueue(getWeight), 64],
    ['the same, quantum of 512', new ContinuingQueue(getWeight, { burstCredit: 0, quantum: 512 }), 64],
    ['the same, quantum of 512, credit of 1024', new ContinuingQueue(getWeight, { burstCredit: 1024, quantum: 512 }), 64],
    ['the same, quantum of 512, credit of 4096 (ours)', new ContinuingQueue(getWeight, { burstCredit: 4096, quantum: 512 }), 64]
  ]
}

const computeP95 = (outcome: Outcome, teams: readonly TeamLoad[]): number =>
  computeQuantile(teams.flatMap((team) => outcome.waits.get(team.name) ?? []), 0.95)

/** Measures how far a flood and a burst move the waiting time of paying teams. */
export const measureWaiting = (): MeasuredTable => {
  const rows: Array<Array<string | number>> = []
  for (const count of [10, 710]) {
    const teams = createTeams(count)
    const quiet = createQueues(teams).map(([, queue, chunk]) => computeP95(runQueue(queue, teams, chunk), teams))
    for (const [kind, extra] of [['unpaid flood of long prompts', flood], ['burst of a rival of equal terms', burst]] as const) {
      createQueues([...teams, extra]).forEach(([name, queue, chunk], index) => {
        const loaded = computeP95(runQueue(queue, [...teams, extra], chunk), teams)
        const before = quiet[index] as number
        rows.push([count, kind, name, before.toFixed(0), loaded.toFixed(0), `${(100 * (loaded / before - 1)).toFixed(0)}%`])
      })
    }
  }
  return {
    title: 'Queueing: time until a paying team\'s prompt has run',
    note: `One engine of ${rowsPerSecond} positions/s on ${slots} slots; paying teams offer 55% of it with prompts of 400; the flood offers 20 prompts/s of 4000, the burst 30/s of 400; seed ${seed}.`,
    columns: ['teams', 'disturbance', 'way', 'quiet p95 ms', 'disturbed p95 ms', 'change'],
    rows
  }
}

/** Measures how close shares come to weights when every team has work. */
export const measureShares = (): MeasuredTable => {
  const weights = [1, 1, 2, 4, 8]
  const teams = weights.map((weight, index): TeamLoad => ({ name: `team-${index}`, weight, rate: 8 * (index % 2 === 0 ? 1 : 4), rows: index % 2 === 0 ? 1600 : 400 }))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const rows = createQueues(teams).map(([name, queue, chunk]) => {
    const { served } = runQueue(queue, teams, chunk)
    const all = [...served.values()].reduce((sum, value) => sum + value, 0)
    const shares = teams.map((team) => (served.get(team.name) as number) / all)
    const worst = Math.max(...shares.map((share, index) => Math.abs(share / ((weights[index] as number) / total) - 1)))
    return [name, ...shares.map((share) => `${(100 * share).toFixed(1)}%`), `${(100 * worst).toFixed(1)}%`]
  })
  return {
    title: 'Queueing: shares when every team has work',
    note: `Weights 1, 1, 2, 4, 8 of 16, prompts of 1600 and 400 by turns, seed ${seed}. Due: ${weights.map((weight) => `${(100 * weight / total).toFixed(1)}%`).join(', ')}.`,
    columns: ['way', ...teams.map((team) => team.name), 'worst deviation'],
    rows
  }
}
