/**
 * Start-time weighted fair queueing between teams, as a queue class for `p-queue`.
 *
 * In a first-in, first-out queue, a team that sends many or long jobs delays all other teams. Here each job has a cost
 * in tokens and each team a queue of its own. The team whose next job has the lowest virtual start time is served, so a
 * team's share follows its weight and not the number or length of its jobs.
 */
import type { Queue } from 'p-queue'

type RunFunction = () => Promise<unknown>

/** Options of a queued job. */
export interface FairQueueOptions {
  id?: string
  priority?: number
  /** Name of the team for which the job runs. */
  team?: string
  /** Amount of work, in tokens times layers. */
  cost?: number
  signal?: AbortSignal
}

/** Returns the weight of a team, which is its share relative to other teams; greater than 0. */
export type TeamWeightProvider = (team: string) => number

/** Permitted deviation from exact shares, in units of cost. */
export interface FairnessOptions {
  /** Maximum work for which a team that was idle is served ahead of teams that were not; 0 gives no such credit. */
  burstCredit: number
  /** Work by which a running job may exceed its share before a waiting team of the same weight is served. */
  quantum: number
}

/** Shares that are exact up to the cost of a single job. */
export const exactFairness: FairnessOptions = { burstCredit: 0, quantum: 0 }

interface QueuedJob {
  run: RunFunction
  cost: number
}

interface TeamBacklog {
  jobs: QueuedJob[]
  /** Virtual start time of the team's next job. */
  virtualStart: number
}

const defaultCost = 1

/**
 * Serves teams in order of virtual start time. The credit that a team gains while idle is limited by `burstCredit`.
 * Weights are read when a job starts, so a changed weight also applies to jobs that are already queued.
 */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  private readonly backlogs = new Map<string, TeamBacklog>()
  private readonly finishTimes = new Map<string, number>()
  private virtualTime = 0
  private queued = 0

  /**
   * @param getWeight - returns the current weight of a team
   * @param options - permitted deviation from exact shares
   */
  constructor (
    private readonly getWeight: TeamWeightProvider,
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
    const virtualStart = this.computeVirtualStart(team)
    this.backlogs.set(team, { jobs: [job], virtualStart })
  }

  /** @returns the job to start next, or `undefined` if the queue is empty */
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
      this.finishTimes.set(team, backlog.virtualStart)
      this.dropStaleFinishTimes()
    }
    return job.run
  }

  /**
   * Lets a job that has just run continue with more work without queueing again. It may continue if its team would be
   * served next, or if the waiting team is due no more work than the quantum.
   *
   * @param team - name of the team
   * @param cost - cost of the additional work
   * @returns whether the job may continue; if so, the cost is charged to the team
   */
  continueIfNext (team: string, cost: number): boolean {
    const next = this.findNextTeam()
    const ownBacklog = this.backlogs.get(team)
    const virtualStart = ownBacklog?.virtualStart ?? this.computeVirtualStart(team)
    if (next !== undefined && next !== team && this.computeWorkDue(virtualStart, next) > this.options.quantum) return false
    this.virtualTime = Math.max(this.virtualTime, virtualStart)
    const virtualFinish = virtualStart + cost / this.getWeight(team)
    if (ownBacklog === undefined) this.finishTimes.set(team, virtualFinish)
    else ownBacklog.virtualStart = virtualFinish
    return true
  }

  /**
   * @param options - options that must match
   * @returns the queued jobs that match
   */
  filter (options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
    const teams = options.team === undefined ? [...this.backlogs.keys()] : [options.team]
    return teams.flatMap((team) => this.backlogs.get(team)?.jobs ?? []).map((job) => job.run)
  }

  /** Does nothing: the order follows from team weights, and a job has no priority of its own. */
  setPriority (): void {}

  /**
   * @returns virtual start time of a new job: not before the virtual finish time of the team's earlier work, and before
   * the current virtual time by no more than the burst credit
   */
  private computeVirtualStart (team: string): number {
    const credit = this.options.burstCredit / this.getWeight(team)
    return Math.max(this.virtualTime - credit, this.finishTimes.get(team) ?? 0)
  }

  /** @returns work that the waiting team is due before a job with the given virtual start time */
  private computeWorkDue (virtualStart: number, waiting: string): number {
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

  private dropStaleFinishTimes (): void {
    for (const [team, finish] of this.finishTimes) {
      if (finish <= this.virtualTime - this.options.burstCredit / this.getWeight(team)) this.finishTimes.delete(team)
    }
  }
}

/**
 * @param getWeight - returns the current weight of a team
 * @param options - permitted deviation from exact shares
 * @param handleCreated - receives the queue that `p-queue` creates
 * @returns a queue class for `p-queue`, which calls its constructor without arguments
 */
export const createFairQueueClass = (
  getWeight: TeamWeightProvider,
  options: FairnessOptions = exactFairness,
  handleCreated: (queue: FairQueue) => void = () => {}
): new () => FairQueue =>
  class extends FairQueue {
    constructor () {
      super(getWeight, options)
      handleCreated(this)
    }
  }
