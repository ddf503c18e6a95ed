/**
 * Runs engine steps in weighted fair order, with a limit on the steps that run at the same time.
 *
 * A request that was running when an engine crashed may have caused the crash. It runs alone, so that a second crash
 * fails no other request and shows which request caused it.
 */
import PQueue from 'p-queue'
import { createError, ErrorKind, getErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { createFairQueueClass } from './fair-queue.js'
import type { FairnessOptions, FairQueue, FairQueueOptions, TeamWeightProvider } from './fair-queue.js'
import type { EngineStep, ModelEngine } from './model-engine.js'
import { SlowdownMeter } from './slowdown-meter.js'
import type { StageOutput } from './stage-session.js'

/** Limits of an {@link EngineExecutor}. */
export interface ExecutorOptions {
  /** Maximum number of steps that run at the same time. */
  maxBatch: number
  /** Maximum number of positions that run in one step; longer prompts are split. */
  maxChunk: number
  /** Time-out of a step, in milliseconds. */
  stepTimeoutMs: number
  /** Permitted deviation from exact shares, in positions. */
  fairness: FairnessOptions
}

/** The request that a step belongs to. */
export interface StepContext {
  team: string
  /** Fingerprint of the request. */
  fingerprint: string
  /** Whether the request was running when an engine crashed and therefore runs alone. */
  isSuspect: boolean
}

/** @returns whether an error shows that the engine crashed while it was running a step */
export const isEngineCrash = (error: unknown): boolean =>
  getErrorKind(error) === ErrorKind.endpointFailed && getErrorOutcome(error) === Outcome.unknown

/** @returns cost of a step in rows; layers are not counted, as all steps at an endpoint use the same layers */
const computeCost = (step: EngineStep): number => step.rows.length

/** Queues and runs the steps of one engine. */
export class EngineExecutor {
  private readonly queue: PQueue<FairQueue, FairQueueOptions>
  private fairQueue: FairQueue | undefined
  private readonly running = new Set<StepContext>()
  private readonly meter = new SlowdownMeter()
  private readonly suspects = new PQueue({ concurrency: 1 })

  constructor (
    private readonly engine: ModelEngine,
    private readonly clock: Clock,
    private readonly options: ExecutorOptions,
    getWeight: TeamWeightProvider,
    private readonly handleCrash: (fingerprints: string[]) => void
  ) {
    const queueClass = createFairQueueClass(getWeight, options.fairness, (fairQueue) => { this.fairQueue = fairQueue })
    this.queue = new PQueue({ concurrency: options.maxBatch, queueClass })
  }

  /** @returns number of queued steps */
  getBacklog (): number {
    return this.queue.size + this.suspects.size
  }

  /** @returns ratio of the engine's current time per row to its baseline; at least 1 */
  getSlowdown (): number {
    return this.meter.getSlowdown()
  }

  /**
   * Runs a step in chunks, so that a long prompt does not block other requests. After each chunk the step keeps its
   * slot in the batch while its team is next in fair order; otherwise it is queued again.
   *
   * @param step - the step; steps of one session must not overlap
   * @param context - the request that the step belongs to
   * @param handleChunk - receives the outputs of each chunk, in order
   */
  async run (step: EngineStep, context: StepContext, handleChunk: (outputs: StageOutput[]) => void): Promise<void> {
    const chunks = this.createChunks(step)
    while (chunks.length > 0) {
      const runChunks = async (): Promise<void> => { await this.runWhileTeamIsNext(chunks, context, handleChunk) }
      if (context.isSuspect) await this.suspects.add(async () => { await this.runExclusively(runChunks) })
      else await this.queue.add(runChunks, { team: context.team, cost: computeCost(chunks[0] as EngineStep) })
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

  private async runWhileTeamIsNext (
    chunks: EngineStep[],
    context: StepContext,
    handleChunk: (outputs: StageOutput[]) => void
  ): Promise<void> {
    for (let chunk = chunks.shift(); chunk !== undefined; chunk = chunks.shift()) {
      handleChunk(await this.runWithTimeout(chunk, context))
      const next = chunks[0]
      if (next === undefined || this.fairQueue?.continueIfNext(context.team, computeCost(next)) !== true) return
    }
  }

  private async runExclusively (runChunks: () => Promise<void>): Promise<void> {
    this.queue.pause()
    try {
      await this.queue.onPendingZero()
      await runChunks()
    } finally {
      this.queue.start()
    }
  }

  private async runWithTimeout (chunk: EngineStep, context: StepContext): Promise<StageOutput[]> {
    this.running.add(context)
    const startedMs = this.clock.now()
    try {
      const outputs = await this.waitWithTimeout(this.engine.runStep(chunk))
      this.meter.record(this.clock.now() - startedMs, chunk.rows.length)
      if (outputs.length === chunk.rows.length) return outputs
      throw createError(ErrorKind.internal, `engine returned ${outputs.length} outputs for ${chunk.rows.length} inputs`)
    } catch (error) {
      if (isEngineCrash(error)) this.handleCrash([...this.running].map((other) => other.fingerprint))
      throw error
    } finally {
      this.running.delete(context)
    }
  }

  private waitWithTimeout<T> (result: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const timer = this.clock.schedule(this.options.stepTimeoutMs, () => {
        reject(createError(ErrorKind.deadline, `engine did not answer within ${this.options.stepTimeoutMs} ms`))
      })
      result.then(resolve, reject).finally(() => { timer.cancel() })
    })
  }
}
