/**
 * Sends the frames of one request to the stages of its pipeline.
 */
import type { StageEndpoint } from './model-graph.js'
import type { Pipeline, PipelineStage } from './pipeline.js'
import type { RunRequest, StagePort } from './run-ports.js'

/** How stages are opened. */
export interface StageOpening {
  /** Whether the stages hold back their outputs until they are told from where to send them. */
  isHeld: boolean
  /** Whether the first stage must encode the prompt. */
  needsPrompt: boolean
  /** Whether the request may crash engines, so that it runs alone. */
  isSuspect: boolean
}

/** Builds frames from the state of a run and sends them. */
export class StageSender {
  constructor (
    private readonly request: RunRequest,
    private readonly port: StagePort
  ) {}

  /** Asks endpoints to hold stages of the pipeline under its current attempt. */
  open (pipeline: Pipeline, stages: readonly PipelineStage[], attempt: number, opening: StageOpening): void {
    const { request, team, model, fingerprint, prompt, deadlineMs } = this.request
    const { isHeld, needsPrompt, isSuspect } = opening
    for (const stage of stages) {
      const index = pipeline.getIndex(stage)
      const { firstLayer, lastLayer } = stage.endpoint
      this.port.send(stage.endpoint, {
        open: {
          request,
          attempt,
          stage: index,
          team,
          model,
          firstLayer,
          lastLayer,
          next: pipeline.getNextHop(stage) ?? null,
          prompt: index === 0 && needsPrompt ? prompt : '',
          fingerprint,
          deadlineMs,
          isHeld,
          isSuspect
        }
      })
    }
  }

  /** Tells the stages from which position each of them sends its outputs on. */
  forward (stages: readonly PipelineStage[], attempt: number, forwardFrom: readonly number[]): void {
    for (const [index, stage] of stages.entries()) {
      const from = forwardFrom[index] as number
      this.port.send(stage.endpoint, { forward: { request: this.request.request, attempt, from } })
    }
  }

  /** Sends inputs to the first stage. */
  feed (first: PipelineStage, attempt: number, position: number, rows: Uint8Array[]): void {
    this.port.send(first.endpoint, { step: { request: this.request.request, attempt, stage: 0, position, rows } })
  }

  /** Tells a remaining stage which stage follows it now. */
  reroute (pipeline: Pipeline, stage: PipelineStage, attempt: number): void {
    stage.hasAnswered = false
    const next = pipeline.getNextHop(stage) ?? null
    this.port.send(stage.endpoint, { reroute: { request: this.request.request, attempt, next } })
  }

  /** Asks a stage for its status. */
  probe (stage: PipelineStage, attempt: number): void {
    stage.hasAnswered = false
    this.port.send(stage.endpoint, { probe: { request: this.request.request, attempt } })
  }

  /** Tells endpoints that they no longer hold a stage of the request. */
  close (endpoints: readonly StageEndpoint[], attempt: number): void {
    for (const endpoint of endpoints) this.port.send(endpoint, { close: { request: this.request.request, attempt } })
  }
}
