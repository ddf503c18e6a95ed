/**
 * Drives one request through a pipeline of stages until its answer is complete.
 *
 * Every stage is reserved before the first input is sent, so a refusal proves that nothing ran. When a stage is lost,
 * the run increments the attempt number, replaces the lost stages and reroutes the remaining ones, which hold back their
 * outputs. Each stage then resends exactly the outputs that the next stage has not accepted.
 */
import { createError, ErrorKind, Outcome } from '@clementineloft/kernel'
import type { Clock, Timer } from '@clementineloft/kernel'
import { computeAlignment } from './alignment.js'
import type { FailedFrame, Frame, RefusedFrame, StatusFrame, TokensFrame } from './frames.js'
import { LossAction, LossLimit } from './loss-limit.js'
import type { StageEndpoint } from './model-graph.js'
import { Pipeline } from './pipeline.js'
import type { PipelineStage } from './pipeline.js'
import type { RetryBudget } from './retry-budget.js'
import { RunInputs } from './run-inputs.js'
import type { RunListener, RunOptions, RunRequest, StagePort, StageSource } from './run-ports.js'
import { StagePicker } from './stage-picker.js'
import { StageSender } from './stage-sender.js'
import { StallProbe } from './stall-probe.js'

const RunState = {
  opening: 'opening',
  running: 'running',
  ended: 'ended'
} as const
type RunState = typeof RunState[keyof typeof RunState]

/** State machine of one request: opens a pipeline, feeds it, and replaces stages that are lost. */
export class PipelineRun {
  private state: RunState = RunState.opening
  private attempt = 0
  private pipeline = new Pipeline([], this.attempt)
  private readonly picker: StagePicker
  private readonly stallProbe: StallProbe
  private readonly sender: StageSender
  private readonly lossLimit: LossLimit
  private readonly inputs = new RunInputs()
  private isPaused = false
  private hasSentInput = false
  private deadlineTimer: Timer | undefined

  constructor (
    private readonly request: RunRequest,
    source: StageSource,
    port: StagePort,
    private readonly listener: RunListener,
    private readonly clock: Clock,
    private readonly options: RunOptions,
    private readonly retryBudget: RetryBudget
  ) {
    this.sender = new StageSender(request, port)
    this.picker = new StagePicker(source)
    this.stallProbe = new StallProbe(clock, options, {
      isPaused: () => this.isPaused,
      getPipeline: () => this.pipeline,
      probe: (stage) => { this.sender.probe(stage, this.attempt) },
      replaceStages: (stages, cause) => { this.replaceStages(stages, cause) }
    })
    this.lossLimit = new LossLimit(options.maxReplacements, options.maxSilenceMs, clock.now())
  }

  /** Picks a pipeline, reserves its stages and starts the deadline timer. */
  start (): void {
    const { deadlineMs } = this.request
    if (deadlineMs > 0) {
      this.deadlineTimer = this.clock.schedule(deadlineMs, () => {
        if (!this.isEnded()) this.fail(ErrorKind.deadline, `request did not complete within its deadline of ${deadlineMs} ms`)
      })
    }
    const endpoints = this.picker.pick([])
    if (endpoints !== undefined) this.beginAttempt(endpoints, false)
    else this.fail(ErrorKind.noCapacity, `no set of available endpoints covers all layers of model "${this.request.model}"`)
  }

  /** @returns names of the endpoints in the current pipeline */
  listEndpoints (): string[] {
    return this.pipeline.list().map((stage) => stage.endpoint.name)
  }

  /** @returns whether the run has completed, failed or been cancelled */
  isEnded (): boolean {
    return this.state === RunState.ended
  }

  /** Handles a frame that a sidecar sent for this request; frames from endpoints outside the pipeline are ignored. */
  handleFrame (endpoint: string, frame: Frame): void {
    const stage = this.pipeline.find(endpoint)
    if (this.state === RunState.ended || stage === undefined) return
    if (frame.tokens != null) this.handleTokens(stage, frame.tokens)
    else if (frame.status != null) this.handleStatus(stage, frame.status)
    else if (frame.refused != null) this.handleRefused(stage, frame.refused)
    else if (frame.failed != null) this.handleStageFailure(stage, frame.failed)
  }

  /**
   * Replaces the stage at an endpoint that has become unreachable.
   *
   * @param endpoint - name of the endpoint
   * @param cause - how the loss was detected
   */
  handleLost (endpoint: string, cause: string): void {
    const stage = this.pipeline.find(endpoint)
    if (this.state === RunState.ended || stage === undefined) return
    this.replaceStages([stage], cause)
  }

  /** Stops feeding inputs while the caller reads too slowly. */
  pause (): void {
    this.isPaused = true
  }

  /** Continues feeding inputs after {@link pause}. */
  resume (): void {
    if (!this.isPaused) return
    this.isPaused = false
    if (this.state === RunState.running) this.feedFirstStage()
  }

  /** Ends the run without an answer because the caller has disconnected. */
  cancel (): void {
    if (this.state !== RunState.ended) this.end()
  }

  private beginAttempt (endpoints: readonly StageEndpoint[], isHeld: boolean): void {
    this.attempt++
    this.pipeline = new Pipeline(endpoints, this.attempt)
    this.openStages(this.pipeline.list(), isHeld)
    this.waitForAnswers()
  }

  private openStages (stages: readonly PipelineStage[], isHeld: boolean): void {
    const isSuspect = this.request.isSuspect || this.picker.countCrashed() > 0
    this.sender.open(this.pipeline, stages, this.attempt, { isHeld, needsPrompt: !this.inputs.hasPrompt(), isSuspect })
  }

  private waitForAnswers (): void {
    this.state = RunState.opening
    this.stallProbe.schedule(this.options.openTimeoutMs, () => {
      this.replaceStages(this.pipeline.listUnanswered(), 'no answer to open or reroute before the timeout')
    })
  }

  private handleStatus (stage: PipelineStage, status: StatusFrame): void {
    if (status.attempt !== this.attempt) return
    stage.status = status
    stage.hasAnswered = true
    if (!this.inputs.hasPrompt()) this.inputs.acceptPrompt(status.promptRows)
    if (!this.pipeline.hasAllAnswers()) return
    if (this.state === RunState.opening) this.continueFromStatuses()
    else this.stallProbe.evaluate()
  }

  private continueFromStatuses (): void {
    if (!this.inputs.hasPrompt()) {
      this.fail(ErrorKind.endpointFailed, `endpoint "${this.listEndpoints()[0]}" returned no rows for the prompt; expected at least one`)
      return
    }
    const alignment = computeAlignment(this.pipeline.listStatuses(), this.inputs.getDeliveredTo())
    if (!alignment.isReplayable) {
      this.restart('outputs that the replacement needs were evicted from the output log')
      return
    }
    this.state = RunState.running
    if (this.attempt > 1) this.sender.forward(this.pipeline.list(), this.attempt, alignment.forwardFrom)
    this.inputs.resumeFrom(alignment.feedFrom)
    this.feedFirstStage()
    this.stallProbe.start()
  }

  private feedFirstStage (): void {
    if (this.isPaused) return
    const [first] = this.pipeline.list()
    if (first === undefined) return
    const { position, rows } = this.inputs.takeUnfed()
    if (rows.length === 0) return
    this.hasSentInput = true
    this.sender.feed(first, this.attempt, position, rows)
  }

  private handleTokens (stage: PipelineStage, frame: TokensFrame): void {
    if (!this.pipeline.isLast(stage) || frame.attempt < stage.joinedAttempt || !this.inputs.hasPrompt()) return
    const nextPosition = this.inputs.getNextTokenPosition()
    const newTokens = frame.tokens.slice(Math.max(0, nextPosition - frame.position))
    if (newTokens.length === 0 || frame.position > nextPosition) return
    this.lossLimit.recordToken(this.clock.now())
    for (const token of newTokens) {
      this.inputs.addToken(token.row)
      this.listener.handleToken(token)
      if (this.isEnded()) return
      if (token.isLast || this.inputs.countTokens() >= this.request.maxTokens) {
        this.end()
        this.retryBudget.recordSuccess()
        this.listener.handleDone()
        return
      }
    }
    if (this.state !== RunState.running) return
    this.feedFirstStage()
    this.stallProbe.start()
  }

  private handleRefused (stage: PipelineStage, frame: RefusedFrame): void {
    if (frame.attempt !== this.attempt) return
    if (frame.kind === ErrorKind.quarantined) {
      this.fail(ErrorKind.quarantined, frame.message)
      return
    }
    if (frame.kind === ErrorKind.overloaded && !this.retryBudget.take()) {
      this.fail(frame.kind as ErrorKind, `${frame.message}; the retry budget is exhausted`)
      return
    }
    this.replaceStages([stage], `refused: ${frame.kind}`, frame.kind as ErrorKind)
  }

  private handleStageFailure (stage: PipelineStage, frame: FailedFrame): void {
    if (frame.attempt < stage.joinedAttempt) return
    const culprit = this.pipeline.find(frame.culprit)
    if (culprit === undefined) return
    const { name } = culprit.endpoint
    if (frame.kind === ErrorKind.endpointFailed && culprit === stage && this.picker.recordCrash(name)) this.listener.handleCrash(name)
    this.replaceStages([culprit], frame.message)
  }

  private replaceStages (lost: readonly PipelineStage[], cause: string, kind: ErrorKind = ErrorKind.endpointFailed): void {
    if (this.state === RunState.ended || lost.length === 0) return
    this.listener.handleStagesLost(lost.map((stage) => stage.endpoint.name), cause)
    for (const stage of lost) this.abandon(stage)
    const crashes = this.picker.countCrashed()
    if (crashes >= this.options.maxCrashes) {
      this.fail(ErrorKind.quarantined, `request quarantined: ${crashes} endpoints crashed while they ran it`)
      return
    }
    const step = this.lossLimit.recordLoss(this.clock.now())
    if (step === LossAction.giveUp) {
      this.fail(kind, `stages were lost repeatedly, with no token for ${this.options.maxSilenceMs} ms; last cause: ${cause}`)
      return
    }
    if (step === LossAction.pause) {
      this.restartAfterPause(cause, kind)
      return
    }
    const endpoints = lost.map((stage) => this.picker.pickReplacement(stage, lost)).filter((endpoint) => endpoint !== undefined)
    if (endpoints.length < lost.length) {
      this.restart(cause, kind)
      return
    }
    this.attempt++
    const { added, remaining } = this.pipeline.replace(lost, endpoints, this.attempt)
    for (const stage of remaining) this.sender.reroute(this.pipeline, stage, this.attempt)
    this.openStages(added, true)
    this.waitForAnswers()
  }

  /**
   * Restarts on a new pipeline from the prompt and the tokens delivered so far, preferring endpoints that are neither
   * excluded nor part of the old pipeline.
   */
  private restart (cause: string, kind: ErrorKind = ErrorKind.endpointFailed): void {
    this.closeStages(this.pipeline.list())
    const endpoints = this.picker.pick(this.listEndpoints())
    if (endpoints === undefined) {
      this.pipeline = new Pipeline([], this.attempt)
      this.fail(kind === ErrorKind.endpointFailed ? ErrorKind.noCapacity : kind, `no alternative pipeline is available: ${cause}`)
      return
    }
    this.beginAttempt(endpoints, true)
  }

  /** Closes all stages and restarts after a pause, during which lost endpoints can recover. */
  private restartAfterPause (cause: string, kind: ErrorKind): void {
    this.closeStages(this.pipeline.list())
    this.pipeline = new Pipeline([], this.attempt)
    this.picker.clearAvoided()
    this.stallProbe.schedule(this.options.restartPauseMs, () => { this.restart(cause, kind) })
  }

  private abandon (stage: PipelineStage): void {
    this.picker.avoid(stage.endpoint.name)
    this.closeStages([stage])
  }

  private closeStages (stages: readonly PipelineStage[]): void {
    this.sender.close(stages.map((stage) => stage.endpoint), this.attempt)
  }

  private fail (kind: ErrorKind, message: string): void {
    const outcome = this.hasSentInput ? Outcome.unknown : Outcome.notRun
    this.end()
    this.listener.handleFailed(createError(kind, message, { outcome }))
  }

  private end (): void {
    this.state = RunState.ended
    this.stallProbe.cancel()
    this.deadlineTimer?.cancel()
    this.closeStages(this.pipeline.list())
  }
}
