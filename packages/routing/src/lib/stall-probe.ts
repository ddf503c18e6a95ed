/**
 * Asks the stages of a request for their status when no token has arrived for a while, and finds the stage that is stuck.
 */
import type { Clock, Timer } from '@clementineloft/kernel'
import { findStuckStage } from './alignment.js'
import type { StatusFrame } from './frames.js'
import type { Pipeline, PipelineStage } from './pipeline.js'
import type { RunOptions } from './run-ports.js'

/** The run that is probed. */
export interface ProbedRun {
  /** @returns whether the caller reads too slowly, so that no token is expected */
  isPaused: () => boolean
  getPipeline: () => Pipeline
  /** Asks a stage for its status. */
  probe: (stage: PipelineStage) => void
  /** Replaces stages that do not answer or are stuck. */
  replaceStages: (stages: readonly PipelineStage[], cause: string) => void
}

/** Detects stages that no longer advance. At most one timer runs at a time. */
export class StallProbe {
  private timer: Timer | undefined
  private previousStatuses: StatusFrame[] = []

  constructor (
    private readonly clock: Clock,
    private readonly options: RunOptions,
    private readonly run: ProbedRun
  ) {}

  /** Waits for the next token; called after each one. */
  start (): void {
    this.previousStatuses = []
    this.schedule(this.options.stallMs, () => { this.probeStages() })
  }

  /** Evaluates the answers to a probe, once all stages have answered. */
  evaluate (): void {
    const pipeline = this.run.getPipeline()
    const statuses = pipeline.listStatuses()
    const stuckStage = pipeline.list()[findStuckStage(this.previousStatuses, statuses) ?? -1]
    if (stuckStage !== undefined) {
      this.run.replaceStages([stuckStage], 'outputs of the previous stage do not arrive')
      return
    }
    this.previousStatuses = statuses
    this.schedule(this.options.probeTimeoutMs, () => { this.probeStages() })
  }

  /** Replaces whatever this probe waits for by another callback of the run. */
  schedule (delayMs: number, callback: () => void): void {
    this.timer?.cancel()
    this.timer = this.clock.schedule(delayMs, callback)
  }

  /** Stops waiting. */
  cancel (): void {
    this.timer?.cancel()
  }

  private probeStages (): void {
    if (this.run.isPaused()) {
      this.start()
      return
    }
    for (const stage of this.run.getPipeline().list()) this.run.probe(stage)
    this.schedule(this.options.probeTimeoutMs, () => {
      this.run.replaceStages(this.run.getPipeline().listUnanswered(), 'no answer to probe before the timeout')
    })
  }
}
