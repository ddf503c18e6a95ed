/**
 * Measures waiting times and throughput shares of teams at one endpoint under several queueing disciplines.
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
  abstract enqueue (run: Run, team: string, cost: number): void
  abstract dequeue (): Run | undefined
  /** @returns whether a prompt may run its next chunk without being queued again */
  continueIfNext (_team: string, _cost: number): boolean {
    return false
  }
}

/** First come, first served. */
class FifoQueue extends MeasuredQueue {
  private readonly jobs: Run[] = []
  private next = 0

  override enqueue (run: Run): void { this.jobs.push(run) }

  override dequeue (): Run | undefined { return this.jobs[this.next++] ?? (this.next--, undefined) }
}

/** Strict priority by weight; first come, first served among equal weights. */
class PriorityQueue extends MeasuredQueue {
  private readonly byWeight = new Map<number, Run[]>()

  constructor (private readonly weights: (team: string) => number) { super() }

  override enqueue (run: Run, team: string): void {
    const weight = this.weights(team)
    const jobs = this.byWeight.get(weight) ?? []
    jobs.push(run)
    this.byWeight.set(weight, jobs)
  }

  override dequeue (): Run | undefined {
    const weight = Math.max(-1, ...[...this.byWeight].filter(([, jobs]) => jobs.length > 0).map(([value]) => value))
    return this.byWeight.get(weight)?.shift()
  }
}

/** Weighted fair queueing in which each chunk is queued again. */
class WeightedQueue extends MeasuredQueue {
  protected readonly queue: FairQueue

  constructor (weights: (team: string) => number, options: FairnessOptions = exactFairness) {
    super()
    this.queue = new FairQueue(weights, options)
  }

  override enqueue (run: Run, team: string, cost: number): void { this.queue.enqueue(run, { team, cost }) }

  override dequeue (): Run | undefined { return this.queue.dequeue() }
}

/** The router's discipline: weighted fair queueing in which a prompt continues while its team is next. */
class ContinuingQueue extends WeightedQueue {
  override continueIfNext (team: string, cost: number): boolean {
    return this.queue.continueIfNext(team, cost)
  }
}

interface TeamLoad {
  name: string
  weight: number
  /** Requests per second. */
  rate: number
  /** Positions (rows) of each prompt. */
  rows: number
}

interface PromptWork {
  team: TeamLoad
  arrivedAt: number
  /** Positions that have not started yet. */
  remainingRows: number
}

interface RunningChunk extends PromptWork {
  endsAt: number
}

interface Outcome {
  /** Time from arrival to the end of the prompt of each request, in milliseconds, by team. */
  waits: Map<string, number[]>
  /** Rows served, by team. */
  served: Map<string, number>
}

/** Simulates an engine with a few slots that serves prompts in chunks (discrete-event simulation). */
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
  const enqueue = (team: TeamLoad, arrivedAt: number, remainingRows: number): void => {
    const run: Run = async () => {}
    jobs.set(run, { team, arrivedAt, remainingRows })
    queue.enqueue(run, team.name, Math.min(chunkRows, remainingRows))
  }
  const start = (slot: number, work: PromptWork, now: number): void => {
    const rows = Math.min(chunkRows, work.remainingRows)
    served.set(work.team.name, (served.get(work.team.name) ?? 0) + rows)
    busy[slot] = { ...work, remainingRows: work.remainingRows - rows, endsAt: now + rows / (rowsPerSecond / slots) }
  }
  const finish = (slot: number, chunk: RunningChunk): void => {
    busy[slot] = undefined
    if (chunk.remainingRows === 0) waits.get(chunk.team.name)?.push((chunk.endsAt - chunk.arrivedAt) * 1000)
    else if (queue.continueIfNext(chunk.team.name, Math.min(chunkRows, chunk.remainingRows))) start(slot, chunk, chunk.endsAt)
    else enqueue(chunk.team, chunk.arrivedAt, chunk.remainingRows)
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
      const run = chunk === undefined ? queue.dequeue() : undefined
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
    ['the same, continuing while next', new ContinuingQueue(getWeight), 64],
    ['the same, quantum of 512', new ContinuingQueue(getWeight, { burstCredit: 0, quantum: 512 }), 64],
    ['the same, quantum of 512, credit of 1024', new ContinuingQueue(getWeight, { burstCredit: 1024, quantum: 512 }), 64],
    ['the same, quantum of 512, credit of 4096 (ours)', new ContinuingQueue(getWeight, { burstCredit: 4096, quantum: 512 }), 64]
  ]
}

const computeP95 = (outcome: Outcome, teams: readonly TeamLoad[]): number =>
  computeQuantile(teams.flatMap((team) => outcome.waits.get(team.name) ?? []), 0.95)

/** Measures how much a flood and a burst raise the waiting time of paying teams. */
export const measureWaiting = (): MeasuredTable => {
  const rows: Array<Array<string | number>> = []
  for (const count of [10, 710]) {
    const teams = createTeams(count)
    const baseline = createQueues(teams).map(([, queue, chunk]) => computeP95(runQueue(queue, teams, chunk), teams))
    for (const [kind, extra] of [['unpaid flood of long prompts', flood], ['burst of a team of equal weight', burst]] as const) {
      createQueues([...teams, extra]).forEach(([name, queue, chunk], index) => {
        const disturbed = computeP95(runQueue(queue, [...teams, extra], chunk), teams)
        const baselineMs = baseline[index] as number
        rows.push([count, kind, name, baselineMs.toFixed(0), disturbed.toFixed(0), `${(100 * (disturbed / baselineMs - 1)).toFixed(0)}%`])
      })
    }
  }
  return {
    title: 'Queueing: time until a paying team\'s prompt has run',
    note: `One engine of ${rowsPerSecond} positions/s on ${slots} slots; paying teams offer 55% of it with prompts of 400; the flood offers 20 prompts/s of 4000, the burst 30/s of 400; seed ${seed}.`,
    columns: ['teams', 'disturbance', 'discipline', 'quiet p95 ms', 'disturbed p95 ms', 'change'],
    rows
  }
}

/** Measures how closely throughput shares follow the weights when every team has a backlog. */
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
    note: `Weights 1, 1, 2, 4, 8 of 16, prompts of 1600 and 400 alternating, seed ${seed}. Expected: ${weights.map((weight) => `${(100 * weight / total).toFixed(1)}%`).join(', ')}.`,
    columns: ['discipline', ...teams.map((team) => team.name), 'worst deviation'],
    rows
  }
}
