/**
 * Weighted fair queueing between teams, as a queue class for `p-queue`.
 *
 * Jobs carry a cost in tokens. Each team has its own order of arrival; the queue serves the team whose next job has the
 * lowest virtual start, so a team's share follows its weight and not the number or length of its jobs.
 */
import type { Queue } from 'p-queue'

type RunFunction = () => Promise<unknown>

/** How a job is queued. */
export interface FairQueueOptions {
  id?: string
  priority?: number
  /** Name of the team for which the job runs. */
  team?: string
  /** Work in the job, in tokens times layers. */
  cost?: number
  signal?: AbortSignal
}

/** Gives the share of a team relative to others; greater than 0. */
export type TeamWeights = (team: string) => number

/** How far the order may depart from exact shares, in units of cost. */
export interface FairnessOptions {
  /** Work by which a team that has used less than its share may run ahead of one that has used more. */
  burstCredit: number
  /** Work by which a job may run on before a team of the same weight that waits. */
  quantum: number
}

/** Shares as exact as single jobs allow. */
export const exactFairness: FairnessOptions = { burstCredit: 0, quantum: 0 }

interface QueuedJob {
  run: RunFunction
  cost: number
}

interface TeamBacklog {
  jobs: QueuedJob[]
  /** Virtual time at which the team's next job starts. */
  virtualStart: number
}

const defaultCost = 1

/**
 * Serves teams by virtual start time. Idle teams gather no credit beyond a bound. Weights are read when a job
 * starts, so changed terms apply to what already waits.
 */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  private readonly backlogs = new Map<string, TeamBacklog>()
  private readonly finishes = new Map<string, number>()
  private virtualTime = 0
  private queued = 0

  /**
   * @param getWeight - present weight of a team
   * @param options - how far the order may depart from exact shares
   */
  constructor (
    private readonly getWeight: TeamWeights,
    private readonly options: FairnessOptions = exactFairness
  ) {}

  get size (): number {
    return this.queued
  }

  /**
   * @param run - starts the job
   * @param options - team and cost of the job
   */
  enqueue (run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const team = options.team ?? ''
    const job = { run, cost: options.cost ?? defaultCost }
    const backlog = this.backlogs.get(team)
    this.queued++
    if (backlog !== undefined) {
      backlog.jobs.push(job)
      return
    }
    const virtualStart = this.computeStart(team)
    this.backlogs.set(team, { jobs: [job], virtualStart })
  }

  /** @returns the job to start next, or `undefined` if none waits */
  dequeue (): RunFunction | undefined {
    const team = this.findNextTeam()
    if (team === undefined) return undefined
    const backlog = this.backlogs.get(team) as TeamBacklog
    const job = backlog.jobs.shift() as QueuedJob
    this.queued--
    this.virtualTime = Math.max(this.virtualTime, backlog.virtualStart)
    backlog.virtualStart += job.cost / this.getWeight(team)
    if (backlog.jobs.length === 0) {
      this.backlogs.delete(team)
      this.finishes.set(team, backlog.virtualStart)
      this.forgetFinished()
    }
    return job.run
  }

  /**
   * Lets a job that has just run go on with more work without queueing again, if its team would be served next anyway.
   *
   * @param team - name of the team
   * @param cost - cost of the further work
   * @returns whether it may go on; the work is then charged to the team
   */
  continueIfNext (team: string, cost: number): boolean {
    const next = this.findNextTeam()
    const own = this.backlogs.get(team)
    const virtualStart = own?.virtualStart ?? this.computeStart(team)
    if (next !== undefined && next !== team && this.computeLead(virtualStart, next) > this.options.quantum) return false
    this.virtualTime = Math.max(this.virtualTime, virtualStart)
    const virtualFinish = virtualStart + cost / this.getWeight(team)
    if (own === undefined) this.finishes.set(team, virtualFinish)
    else own.virtualStart = virtualFinish
    return true
  }

  /**
   * @param options - options that must match
   * @returns the waiting jobs that match
   */
  filter (options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
    const teams = options.team === undefined ? [...this.backlogs.keys()] : [options.team]
    return teams.flatMap((team) => this.backlogs.get(team)?.jobs ?? []).map((job) => job.run)
  }

  /** Priorities follow from weights; a single job has none to change. */
  setPriority (): void {}

  /** A team starts no earlier than its own finished work allows, and with bounded credit for time without work. */
  private computeStart (team: string): number {
    const credit = this.options.burstCredit / this.getWeight(team)
    return Math.max(this.virtualTime - credit, this.finishes.get(team) ?? 0)
  }

  /** @returns work that the waiting team is due before another may start at a virtual time */
  private computeLead (virtualStart: number, waiting: string): number {
    return (virtualStart - (this.backlogs.get(waiting) as TeamBacklog).virtualStart) * this.getWeight(waiting)
  }

  private findNextTeam (): string | undefined {
    let best: string | undefined
    let bestStart = Infinity
    for (const [team, backlog] of this.backlogs) {
      if (backlog.virtualStart >= bestStart) continue
      best = team
      bestStart = backlog.virtualStart
    }
    return best
  }

  private forgetFinished (): void {
    for (const [team, finish] of this.finishes) {
      if (finish <= this.virtualTime - this.options.burstCredit / this.getWeight(team)) this.finishes.delete(team)
    }
  }
}

/**
 * @param getWeight - present weight of a team
 * @param options - how far the order may depart from exact shares
 * @param handleCreated - receives the queue that `p-queue` creates
 * @returns a queue class for `p-queue`, which creates its queue without arguments
 */
export const createFairQueueClass = (
  getWeight: TeamWeights,
  options: FairnessOptions = exactFairness,
  handleCreated: (queue: FairQueue) => void = () => {}
): new () => FairQueue =>
  class extends FairQueue {
    constructor () {
      super(getWeight, options)
      handleCreated(this)
    }
  }
