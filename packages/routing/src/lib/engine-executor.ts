/**
 * Runs engine steps in fair order, at most a batch at a time, and suspects of a crash alone.
 */
import PQueue from 'p-queue'
import { createError, ErrorKind, getErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { createFairQueueClass } from './fair-queue.js'
import type { FairnessOptions, FairQueue, FairQueueOptions, TeamWeights } from './fair-queue.js'
import type { EngineStep, ModelEngine } from './model-engine.js'
import { SlowdownMeter } from './slowdown-meter.js'
import type { StageOutput } from './stage-session.js'

/** Bounds of an executor. */
export interface ExecutorOptions {
  /** Steps that run at the same time. */
  maxBatch: number
  /** Positions of a long prompt that run in one step. */
  maxChunk: number
  /** How long a step may take, in milliseconds. */
  stepTimeoutMs: number
  /** How far the order may depart from exact shares, in positions. */
  fairness: FairnessOptions
}

/** For whom a step runs. */
export interface StepTerms {
  team: string
  /** Fingerprint of the request. */
  fingerprint: string
  /** Whether the request was running when an engine crashed, so that it must run alone. */
  isSuspect: boolean
}

/** @returns whether an error shows that the engine died while it was running a step */
export const isEngineCrash = (error: unknown): boolean =>
  getErrorKind(error) === ErrorKind.endpointFailed && getErrorOutcome(error) === Outcome.unknown

/** @returns the work in a step; all steps at an endpoint run through the same layers */
const computeCost = (step: EngineStep): number => step.rows.length

/** Queues steps in front of one engine. */
export class EngineExecutor {
  private readonly queue: PQueue<FairQueue, FairQueueOptions>
  private fairQueue: FairQueue | undefined
  private readonly running = new Set<StepTerms>()
  private readonly meter = new SlowdownMeter()
  private readonly suspects = new PQueue({ concurrency: 1 })

  constructor (
    private readonly engine: ModelEngine,
    private readonly clock: Clock,
    private readonly options: ExecutorOptions,
    getWeight: TeamWeights,
    private readonly handleCrash: (fingerprints: string[]) => void
  ) {
    const queueClass = createFairQueueClass(getWeight, options.fairness, (fairQueue) => { this.fairQueue = fairQueue })
    this.queue = new PQueue({ concurrency: options.maxBatch, queueClass })
  }

  /** @returns number of steps that wait */
  getBacklog (): number {
    return this.queue.size + this.suspects.size
  }

  /** @returns how many times slower the engine is than at its best; at least 1 */
  getSlowdown (): number {
    return this.meter.getSlowdown()
  }

  /**
   * Runs a step in chunks, so that a long prompt does not hold up others. Between chunks the step keeps its place in
   * the batch while its team is next in fair order, and queues again otherwise.
   *
   * @param step - the step; steps of one session must not overlap
   * @param terms - for whom it runs
   * @param handleChunk - receives the outputs of each chunk, in order
   */
  async run (step: EngineStep, terms: StepTerms, handleChunk: (outputs: StageOutput[]) => void): Promise<void> {
    const chunks = this.createChunks(step)
    while (chunks.length > 0) {
      const runChunks = async (): Promise<void> => { await this.runWhileNext(chunks, terms, handleChunk) }
      if (terms.isSuspect) await this.suspects.add(async () => { await this.runAlone(runChunks) })
      else await this.queue.add(runChunks, { team: terms.team, cost: computeCost(chunks[0] as EngineStep) })
    }
  }

  private createChunks (step: EngineStep): EngineStep[] {
    const chunks: EngineStep[] = []
    for (let start = 0; start < step.rows.length; start += this.options.maxChunk) {
      const rows = step.rows.slice(start, start + this.options.maxChunk)
      chunks.push({ ...step, position: step.position + start, rows })
    }
    return chunks
  }

  private async runWhileNext (
    chunks: EngineStep[],
    terms: StepTerms,
    handleChunk: (outputs: StageOutput[]) => void
  ): Promise<void> {
    for (let chunk = chunks.shift(); chunk !== undefined; chunk = chunks.shift()) {
      handleChunk(await this.runBounded(chunk, terms))
      const next = chunks[0]
      if (next === undefined || this.fairQueue?.continueIfNext(terms.team, computeCost(next)) !== true) return
    }
  }

  private async runAlone (runChunks: () => Promise<void>): Promise<void> {
    this.queue.pause()
    try {
      await this.queue.onPendingZero()
      await runChunks()
    } finally {
      this.queue.start()
    }
  }

  private async runBounded (chunk: EngineStep, terms: StepTerms): Promise<StageOutput[]> {
    this.running.add(terms)
    const startedMs = this.clock.now()
    try {
      const outputs = await this.waitBounded(this.engine.runStep(chunk))
      this.meter.record(this.clock.now() - startedMs, chunk.rows.length)
      if (outputs.length === chunk.rows.length) return outputs
      throw createError(ErrorKind.internal, `engine answered ${outputs.length} outputs for ${chunk.rows.length} inputs`)
    } catch (error) {
      if (isEngineCrash(error)) this.handleCrash([...this.running].map((other) => other.fingerprint))
      throw error
    } finally {
      this.running.delete(terms)
    }
  }

  private waitBounded<T> (result: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const timer = this.clock.schedule(this.options.stepTimeoutMs, () => {
        reject(createError(ErrorKind.deadline, `engine did not answer within ${this.options.stepTimeoutMs} ms`))
      })
      result.then(resolve, reject).finally(() => { timer.cancel() })
    })
  }
}
