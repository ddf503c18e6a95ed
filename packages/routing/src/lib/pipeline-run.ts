/**
 * Drives one request over a pipeline of stages until its answer is complete.
 *
 * Every stage is reserved before the first input is sent, so a refusal is proof that nothing ran. When a stage is lost,
 * the attempt number grows, the lost stages are replaced, the survivors hold back their outputs, and each stage then
 * sends again exactly what the next one lacks.
 */
import { createError, ErrorKind, Outcome } from '@clementineloft/kernel'
import type { Clock, Timer } from '@clementineloft/kernel'
import { computeAlignment, findStuckStage } from './alignment.js'
import type { FailedFrame, Frame, Hop, RefusedFrame, StatusFrame, Token, TokensFrame } from './frames.js'
import type { StageEndpoint } from './model-graph.js'
import type { RetryBudget } from './retry-budget.js'
import type { RunListener, RunOptions, RunRequest, StagePort, StageSource } from './run-ports.js'

const RunState = {
  opening: 'opening',
  running: 'running',
  ended: 'ended'
} as const
type RunState = typeof RunState[keyof typeof RunState]

interface Stage {
  endpoint: StageEndpoint
  /** Attempt in which this endpoint joined the pipeline. */
  joined: number
  status: StatusFrame | undefined
  isAnswered: boolean
}

/** One request on its way through a pipeline. */
export class PipelineRun {
  private state: RunState = RunState.opening
  private stages: Stage[] = []
  private attempt = 0
  private readonly excluded = new Set<string>()
  private readonly crashed = new Set<string>()
  private replacements = 0
  private promptRows: Uint8Array[] | undefined
  private readonly generated: Token[] = []
  private fedTo = 0
  private isPaused = false
  private hasFed = false
  private timer: Timer | undefined
  private deadline: Timer | undefined
  private earlierProbe: StatusFrame[] = []

  constructor (
    private readonly request: RunRequest,
    private readonly source: StageSource,
    private readonly port: StagePort,
    private readonly listener: RunListener,
    private readonly clock: Clock,
    private readonly options: RunOptions,
    private readonly retryBudget: RetryBudget
  ) {}

  /** Picks a pipeline and reserves it. */
  start (): void {
    const { deadlineMs } = this.request
    if (deadlineMs > 0) {
      this.deadline = this.clock.schedule(deadlineMs, () => {
        if (!this.isEnded()) this.fail(ErrorKind.deadline, `no whole answer within ${deadlineMs} ms`)
      })
    }
    const endpoints = this.source.pick(this.excluded)
    if (endpoints === undefined) {
      this.fail(ErrorKind.noCapacity, `no endpoints cover all layers of model "${this.request.model}"`)
      return
    }
    this.attempt++
    this.stages = endpoints.map((endpoint) => this.createStage(endpoint))
    this.openStages(this.stages, false)
    this.waitForAnswers()
  }

  /** @returns names of the endpoints in the present pipeline */
  listEndpoints (): string[] {
    return this.stages.map((stage) => stage.endpoint.name)
  }

  /** @returns whether the run has ended */
  isEnded (): boolean {
    return this.state === RunState.ended
  }

  /** Takes a frame that a sidecar sent about this request. */
  handleFrame (endpoint: string, frame: Frame): void {
    const stage = this.stages.find((candidate) => candidate.endpoint.name === endpoint)
    if (this.state === RunState.ended || stage === undefined) return
    if (frame.tokens != null) this.handleTokens(stage, frame.tokens)
    else if (frame.status != null) this.handleStatus(stage, frame.status)
    else if (frame.refused != null) this.handleRefused(stage, frame.refused)
    else if (frame.failed != null) this.handleStageFailed(stage, frame.failed)
  }

  /**
   * Replaces an endpoint that can no longer be reached.
   *
   * @param endpoint - name of the endpoint
   * @param cause - what showed the loss
   */
  handleLost (endpoint: string, cause: string): void {
    const stage = this.stages.find((candidate) => candidate.endpoint.name === endpoint)
    if (this.state === RunState.ended || stage === undefined) return
    this.replaceStages([stage], cause)
  }

  /** Stops feeding positions, because the caller reads too slowly. */
  pause (): void {
    this.isPaused = true
  }

  /** Feeds positions again. */
  resume (): void {
    if (!this.isPaused) return
    this.isPaused = false
    if (this.state === RunState.running) this.feed()
  }

  /** Ends the run without an answer, because the caller has gone. */
  cancel (): void {
    if (this.state !== RunState.ended) this.end()
  }

  private createStage (endpoint: StageEndpoint): Stage {
    return { endpoint, joined: this.attempt, status: undefined, isAnswered: false }
  }

  private getNextHop (stage: Stage): Hop | undefined {
    const next = this.stages[this.stages.indexOf(stage) + 1]?.endpoint
    return next === undefined ? undefined : { endpoint: next.name, address: next.address }
  }

  private openStages (stages: readonly Stage[], isHeld: boolean): void {
    const { request, team, model, fingerprint, prompt, deadlineMs } = this.request
    for (const stage of stages) {
      const index = this.stages.indexOf(stage)
      const { firstLayer, lastLayer } = stage.endpoint
      const isEncoder = index === 0 && this.promptRows === undefined
      this.port.send(stage.endpoint, {
        open: {
          request,
          attempt: this.attempt,
          stage: index,
          team,
          model,
          firstLayer,
          lastLayer,
          next: this.getNextHop(stage) ?? null,
          prompt: isEncoder ? prompt : '',
          fingerprint,
          deadlineMs,
          isHeld,
          isSuspect: this.request.isSuspect || this.crashed.size > 0
        }
      })
    }
  }

  private waitForAnswers (): void {
    this.state = RunState.opening
    this.setTimer(this.options.openTimeoutMs, () => {
      this.replaceStages(this.stages.filter((stage) => !stage.isAnswered), 'no answer to open')
    })
  }

  private handleStatus (stage: Stage, status: StatusFrame): void {
    if (status.attempt !== this.attempt) return
    stage.status = status
    stage.isAnswered = true
    if (status.promptRows.length > 0) this.promptRows ??= status.promptRows
    if (!this.stages.every((each) => each.isAnswered)) return
    if (this.state === RunState.opening) this.continueFromStatuses()
    else this.evaluateProbe()
  }

  private continueFromStatuses (): void {
    if (this.promptRows === undefined) {
      this.fail(ErrorKind.endpointFailed, `endpoint "${this.stages[0]?.endpoint.name}" encoded the prompt to nothing`)
      return
    }
    const statuses = this.stages.map((stage) => stage.status as StatusFrame)
    const alignment = computeAlignment(statuses, this.getDeliveredTo())
    if (!alignment.isCovered) {
      this.restart('outputs needed for the replacement are no longer logged')
      return
    }
    this.state = RunState.running
    if (this.attempt > 1) this.sendForwards(alignment.forwardFrom)
    this.fedTo = alignment.feedFrom
    this.feed()
    this.watchProgress()
  }

  private sendForwards (forwardFrom: readonly number[]): void {
    for (const [index, stage] of this.stages.entries()) {
      const from = forwardFrom[index] as number
      this.port.send(stage.endpoint, { forward: { request: this.request.request, attempt: this.attempt, from } })
    }
  }

  /** @returns position after the last one whose token the entry holds */
  private getDeliveredTo (): number {
    if (this.generated.length === 0) return 0
    return (this.promptRows as Uint8Array[]).length - 1 + this.generated.length
  }

  private feed (): void {
    if (this.isPaused) return
    const rows = [...(this.promptRows as Uint8Array[]), ...this.generated.map((token) => token.row)].slice(this.fedTo)
    if (rows.length === 0) return
    const first = this.stages[0] as Stage
    const step = { request: this.request.request, attempt: this.attempt, stage: 0, position: this.fedTo, rows }
    this.hasFed = true
    this.fedTo += rows.length
    this.port.send(first.endpoint, { step })
  }

  private handleTokens (stage: Stage, frame: TokensFrame): void {
    const isFromLast = stage === this.stages.at(-1)
    if (!isFromLast || frame.attempt < stage.joined || this.promptRows === undefined) return
    const firstUseful = Math.max(this.getDeliveredTo(), this.promptRows.length - 1)
    const fresh = frame.tokens.slice(Math.max(0, firstUseful - frame.position))
    if (fresh.length === 0 || frame.position > firstUseful) return
    for (const token of fresh) {
      this.generated.push(token)
      this.listener.handleToken(token)
      if (this.isEnded()) return
      if (token.isLast || this.generated.length >= this.request.maxTokens) {
        this.end()
        this.retryBudget.recordSuccess()
        this.listener.handleDone()
        return
      }
    }
    if (this.state !== RunState.running) return
    this.feed()
    this.watchProgress()
  }

  private handleRefused (stage: Stage, frame: RefusedFrame): void {
    if (frame.attempt !== this.attempt) return
    if (frame.kind === ErrorKind.quarantined) {
      this.fail(ErrorKind.quarantined, frame.message)
      return
    }
    if (!this.retryBudget.take()) {
      this.fail(frame.kind as ErrorKind, `${frame.message}; no retries are left`)
      return
    }
    this.replaceStages([stage], `refused: ${frame.kind}`, frame.kind as ErrorKind)
  }

  private handleStageFailed (stage: Stage, frame: FailedFrame): void {
    if (frame.attempt < stage.joined) return
    const culprit = this.stages.find((candidate) => candidate.endpoint.name === frame.culprit)
    if (culprit === undefined) return
    if (frame.kind === ErrorKind.endpointFailed && culprit === stage) this.recordCrash(culprit.endpoint.name)
    this.replaceStages([culprit], frame.message)
  }

  private recordCrash (endpoint: string): void {
    if (this.crashed.has(endpoint)) return
    this.crashed.add(endpoint)
    this.listener.handleCrash(endpoint)
  }

  private replaceStages (lost: readonly Stage[], cause: string, kind: ErrorKind = ErrorKind.endpointFailed): void {
    if (this.state === RunState.ended || lost.length === 0) return
    this.listener.handleReplaced(lost.map((stage) => stage.endpoint.name), cause)
    for (const stage of lost) this.abandon(stage)
    if (this.crashed.size >= this.options.maxCrashes) {
      this.fail(ErrorKind.quarantined, `the request was running at ${this.crashed.size} endpoints when they failed`)
      return
    }
    if (++this.replacements > this.options.maxReplacements) {
      this.fail(kind, `gave up after replacing stages ${this.options.maxReplacements} times; last cause: ${cause}`)
      return
    }
    const replaced = lost.map((stage) => this.pickReplacement(stage, lost))
    if (replaced.some((endpoint) => endpoint === undefined)) {
      this.restart(cause, kind)
      return
    }
    this.attempt++
    const fresh = replaced.map((endpoint) => this.createStage(endpoint as StageEndpoint))
    this.stages = this.stages.map((stage) => fresh[lost.indexOf(stage)] ?? stage)
    const survivors = this.stages.filter((stage) => !fresh.includes(stage))
    for (const stage of survivors) this.reroute(stage)
    this.openStages(fresh, true)
    this.waitForAnswers()
  }

  /** Picks an endpoint that this run has not lost; if there is none, one that it has lost earlier and that may be back. */
  private pickReplacement (stage: Stage, lost: readonly Stage[]): StageEndpoint | undefined {
    const justLost = new Set([...this.crashed, ...lost.map((other) => other.endpoint.name)])
    return this.source.pickReplacement(stage.endpoint, this.excluded) ??
      this.source.pickReplacement(stage.endpoint, justLost)
  }

  private reroute (stage: Stage): void {
    stage.isAnswered = false
    const next = this.getNextHop(stage) ?? null
    this.port.send(stage.endpoint, { reroute: { request: this.request.request, attempt: this.attempt, next } })
  }

  /** Starts over on a new pipeline, from the prompt and the tokens that were delivered. */
  private restart (cause: string, kind: ErrorKind = ErrorKind.endpointFailed): void {
    for (const stage of this.stages) this.sendClose(stage)
    const held = new Set([...this.excluded, ...this.stages.map((stage) => stage.endpoint.name)])
    const endpoints = this.source.pick(held) ?? this.source.pick(this.excluded) ?? this.source.pick(this.crashed)
    if (endpoints === undefined) {
      this.stages = []
      this.fail(kind === ErrorKind.endpointFailed ? ErrorKind.noCapacity : kind, `no other pipeline is left: ${cause}`)
      return
    }
    this.attempt++
    this.stages = endpoints.map((endpoint) => this.createStage(endpoint))
    this.openStages(this.stages, true)
    this.waitForAnswers()
  }

  private abandon (stage: Stage): void {
    this.excluded.add(stage.endpoint.name)
    this.sendClose(stage)
  }

  private sendClose (stage: Stage): void {
    this.port.send(stage.endpoint, { close: { request: this.request.request, attempt: this.attempt } })
  }

  private watchProgress (): void {
    this.earlierProbe = []
    this.setTimer(this.options.stallMs, () => { this.probe() })
  }

  private probe (): void {
    if (this.isPaused) {
      this.watchProgress()
      return
    }
    for (const stage of this.stages) {
      stage.isAnswered = false
      this.port.send(stage.endpoint, { probe: { request: this.request.request, attempt: this.attempt } })
    }
    this.setTimer(this.options.probeTimeoutMs, () => {
      const silent = this.stages.filter((stage) => !stage.isAnswered)
      this.replaceStages(silent, 'no answer to probe')
    })
  }

  private evaluateProbe (): void {
    const statuses = this.stages.map((stage) => stage.status as StatusFrame)
    const stuck = findStuckStage(this.earlierProbe, statuses)
    if (stuck !== undefined) {
      this.replaceStages([this.stages[stuck] as Stage], 'inputs do not arrive from the stage before')
      return
    }
    this.earlierProbe = statuses
    this.setTimer(this.options.probeTimeoutMs, () => { this.probe() })
  }

  private fail (kind: ErrorKind, message: string): void {
    const outcome = this.hasFed ? Outcome.unknown : Outcome.notRun
    this.end()
    this.listener.handleFailed(createError(kind, message, { outcome }))
  }

  private end (): void {
    this.state = RunState.ended
    this.timer?.cancel()
    this.deadline?.cancel()
    for (const stage of this.stages) this.sendClose(stage)
  }

  private setTimer (delayMs: number, callback: () => void): void {
    this.timer?.cancel()
    this.timer = this.clock.schedule(delayMs, callback)
  }
}
