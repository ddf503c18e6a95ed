/**
 * Runs one endpoint's stages: admits requests, queues their steps for the engine and sends the outputs on.
 *
 * A pipeline splits the layers of a model over several endpoints, and messages between them arrive late, twice or not
 * at all. The host refuses attempts that a newer one has replaced, reports engine failures and lost connections to the
 * entry that drives the request, and keeps outputs so that the entry can replace a neighbouring stage.
 */
import { ErrorKind, getErrorKind, getErrorMessage } from '@clementineloft/kernel'
import type { Timer } from '@clementineloft/kernel'
import { AdmissionControl } from './admission-control.js'
import { AttemptTombstones } from './attempt-tombstones.js'
import { EngineExecutor, isEngineCrash } from './engine-executor.js'
import { EngineHealthMonitor } from './engine-health-monitor.js'
import { getFrameRequest } from './frames.js'
import type { Frame, OpenFrame, StepFrame, Token } from './frames.js'
import type { ModelEngine } from './model-engine.js'
import type { StageHostContext, StageHostOptions, StageTransport } from './stage-host-ports.js'
import { StageSession, StepVerdict } from './stage-session.js'
import type { OutputBatch, StageOutput } from './stage-session.js'

interface HostedSession {
  session: StageSession
  /** Connection of the entry that drives the request. */
  connection: string
  engineSession: string
  isLastStage: boolean
  /** Tokens of the prompt, at the first stage. */
  promptRows: Uint8Array[]
  /** Whether the engine is still encoding the prompt; no status is sent until it has finished. */
  isEncoding: boolean
  /** Resolves when all accepted steps have run; the next step is chained to it. */
  tail: Promise<void>
  /** Closes the session when the request's deadline passes. */
  deadline: Timer | undefined
  isClosed: boolean
}

/** Holds the sessions of one endpoint. */
export class StageHost {
  private readonly sessions = new Map<string, HostedSession>()
  private readonly tombstones: AttemptTombstones
  private readonly engineHealth: EngineHealthMonitor
  private readonly executor: EngineExecutor
  private readonly admission: AdmissionControl
  private isLeaving = false
  private crashReport = Promise.resolve()

  constructor (
    private readonly context: StageHostContext,
    private readonly engine: ModelEngine,
    private readonly transport: StageTransport,
    private readonly options: StageHostOptions
  ) {
    this.tombstones = new AttemptTombstones(context.clock)
    this.engineHealth = new EngineHealthMonitor(context.endpoint, engine, context.clock, context.journal)
    this.admission = new AdmissionControl(() => Math.min(options.maxSessions, context.getCapacity()), context.getFreeCapacityFactor)
    this.executor = new EngineExecutor(engine, context.clock, options, context.getWeight, (fingerprints) => {
      this.crashReport = this.transport.reportCrash(fingerprints)
    })
  }

  /** @returns number of requests held */
  countSessions (): number {
    return this.sessions.size
  }

  /** @returns the load reported to entries: number of requests held, times the slowdown of the engine */
  getLoad (): number {
    return Math.round(this.sessions.size * this.executor.getSlowdown())
  }

  /** @returns number of steps queued for the engine */
  getBacklog (): number {
    return this.executor.getBacklog()
  }

  /** @returns total size of the output logs, in bytes */
  getLogBytes (): number {
    return [...this.sessions.values()].reduce((sum, hosted) => sum + hosted.session.getLogBytes(), 0)
  }

  /** @param isLeaving - whether new requests are refused; requests already held continue */
  setLeaving (isLeaving: boolean): void {
    this.isLeaving = isLeaving
  }

  /** Asks entries to move all requests to other endpoints; each request is served until its entry closes it. */
  evictAll (): void {
    const message = `endpoint "${this.context.endpoint}" is shutting down`
    for (const hosted of this.sessions.values()) this.sendFailed(hosted, ErrorKind.leaving, message, this.context.endpoint)
  }

  /**
   * Handles a frame from an entry or from the previous stage.
   *
   * @param connection - identity of the connection on which the frame arrived
   * @param frame - the frame
   */
  handleFrame (connection: string, frame: Frame): void {
    if (frame.step != null) {
      this.handleStep(frame.step)
      return
    }
    if (frame.open != null) {
      void this.handleOpen(connection, frame.open)
      return
    }
    const hosted = this.sessions.get(getFrameRequest(frame))
    if (frame.close != null) {
      this.tombstones.add(frame.close.request, frame.close.attempt)
      if (hosted !== undefined && frame.close.attempt >= hosted.session.getAttempt()) this.closeSession(hosted)
      return
    }
    if (hosted === undefined) return
    if (frame.forward != null) this.sendOutputs(hosted, hosted.session.forward(frame.forward))
    if (frame.reroute != null && hosted.session.reroute(frame.reroute)) this.sendStatus(hosted)
    if (frame.probe != null && frame.probe.attempt === hosted.session.getAttempt()) this.sendStatus(hosted)
  }

  /** Closes the sessions of an entry whose connection was lost. */
  handleConnectionLost (connection: string): void {
    for (const hosted of [...this.sessions.values()]) {
      if (hosted.connection !== connection) continue
      this.tombstones.add(hosted.session.request, hosted.session.getAttempt())
      this.closeSession(hosted)
    }
  }

  /**
   * Reports to entries that the next stage of their requests cannot be reached.
   *
   * @param endpoint - name of the next stage's endpoint
   */
  handleHopLost (endpoint: string): void {
    const message = `endpoint "${endpoint}" cannot be reached from "${this.context.endpoint}"`
    for (const hosted of this.sessions.values()) {
      const isAffected = hosted.session.getNextEndpoint() === endpoint
      if (isAffected) this.sendFailed(hosted, ErrorKind.noCapacity, message, endpoint)
    }
  }

  private async handleOpen (connection: string, open: OpenFrame): Promise<void> {
    const refusal = this.findRefusal(open)
    if (refusal !== undefined) {
      this.refuse(connection, open, refusal.kind, refusal.message)
      return
    }
    const previous = this.sessions.get(open.request)
    if (previous !== undefined) this.closeSession(previous)
    const hosted: HostedSession = {
      session: new StageSession(open, this.options.maxLogBytes),
      connection,
      engineSession: `${open.request}.${open.attempt}`,
      isLastStage: open.next == null,
      promptRows: [],
      isEncoding: open.prompt !== '',
      tail: Promise.resolve(),
      deadline: undefined,
      isClosed: false
    }
    this.sessions.set(open.request, hosted)
    this.admission.add(open.team)
    if (open.deadlineMs > 0) hosted.deadline = this.context.clock.schedule(open.deadlineMs, () => { this.closeSession(hosted) })
    const { request, team } = open
    this.context.journal.record({ name: 'stage-open', request, team, endpoint: this.context.endpoint, detail: `layers ${open.firstLayer}-${open.lastLayer}, attempt ${open.attempt}` })
    if (hosted.isEncoding) await this.encodePrompt(hosted, open)
    if (!hosted.isClosed) this.sendStatus(hosted)
  }

  private async encodePrompt (hosted: HostedSession, open: OpenFrame): Promise<void> {
    try {
      hosted.promptRows = await this.engine.encode(open.model, open.prompt)
      hosted.isEncoding = false
    } catch (error) {
      this.reportEngineError(hosted, error)
      this.closeSession(hosted)
    }
  }

  private findRefusal (open: OpenFrame): { kind: ErrorKind, message: string } | undefined {
    const { endpoint } = this.context
    if (this.isLeaving) return { kind: ErrorKind.leaving, message: `endpoint "${endpoint}" is shutting down` }
    const newestAttempt = Math.max(this.tombstones.getLatestEnded(open.request), this.sessions.get(open.request)?.session.getAttempt() ?? 0)
    if (open.attempt <= newestAttempt) {
      return { kind: ErrorKind.superseded, message: `attempt ${open.attempt} is not newer than attempt ${newestAttempt}, which is running or has ended` }
    }
    if (this.context.isQuarantined(open.fingerprint)) {
      return { kind: ErrorKind.quarantined, message: 'a request with the same team and content crashed several endpoints' }
    }
    if (this.engineHealth.isDown()) return { kind: ErrorKind.noCapacity, message: `the engine of endpoint "${endpoint}" is down and has not passed a health check since` }
    if (!this.context.hasLayers(open)) {
      return { kind: ErrorKind.noCapacity, message: `endpoint "${endpoint}" does not hold layers ${open.firstLayer}-${open.lastLayer} of model "${open.model}"` }
    }
    if (!this.admission.canAdmit(open.team)) {
      return { kind: ErrorKind.overloaded, message: `endpoint "${endpoint}" holds ${this.sessions.size} requests and admits no more of team "${open.team}" at present` }
    }
    return undefined
  }

  private refuse (connection: string, open: OpenFrame, kind: ErrorKind, message: string): void {
    this.context.metrics.count(`stage_refused_total{kind="${kind}"}`)
    const { request, team, attempt, stage } = open
    const data = { kind, held: this.sessions.size, places: this.context.getCapacity() }
    this.context.journal.record({ name: 'stage-refused', request, team, endpoint: this.context.endpoint, detail: message, data })
    this.transport.sendToEntry(connection, { refused: { request, attempt, stage, kind, message } })
  }

  private handleStep (step: StepFrame): void {
    const hosted = this.sessions.get(step.request)
    if (hosted === undefined) return
    const decision = hosted.session.acceptStep(step)
    this.context.metrics.count(`stage_steps_total{verdict="${decision.verdict}"}`)
    if (decision.verdict === StepVerdict.gap) {
      const message = `endpoint "${this.context.endpoint}" received a step out of sequence at position ${step.position}`
      this.sendFailed(hosted, ErrorKind.internal, message, this.context.endpoint)
    }
    if (decision.verdict !== StepVerdict.run) return
    hosted.tail = hosted.tail.then(async () => { await this.runStep(hosted, decision.position, decision.rows) })
  }

  private async runStep (hosted: HostedSession, position: number, rows: Uint8Array[]): Promise<void> {
    if (hosted.isClosed) return
    const { session, engineSession, isLastStage } = hosted
    const { model, firstLayer, lastLayer, team, fingerprint } = session
    const step = { session: engineSession, model, firstLayer, lastLayer, isLastStage, position, rows }
    const stepContext = { team, fingerprint, isSuspect: session.isSuspect || this.context.isSuspect(fingerprint) }
    try {
      await this.executor.run(step, stepContext, (outputs) => { this.handleOutputs(hosted, outputs) })
    } catch (error) {
      await this.handleStepError(hosted, error)
    }
  }

  private handleOutputs (hosted: HostedSession, outputs: StageOutput[]): void {
    this.context.metrics.count('stage_rows_total', outputs.length)
    if (!hosted.isClosed) this.sendOutputs(hosted, hosted.session.complete(outputs))
  }

  private async handleStepError (hosted: HostedSession, error: unknown): Promise<void> {
    if (isEngineCrash(error)) await this.crashReport
    if (hosted.isClosed) return
    this.reportEngineError(hosted, error)
    this.closeSession(hosted)
  }

  /** Reports an engine error to the entry, as `no-capacity` if the engine could not be reached and so ran nothing. */
  private reportEngineError (hosted: HostedSession, error: unknown): void {
    const isUnreachable = getErrorKind(error) === ErrorKind.endpointFailed && !isEngineCrash(error)
    const kind = isUnreachable ? ErrorKind.noCapacity : getErrorKind(error)
    this.engineHealth.recordError(error)
    this.sendFailed(hosted, kind, getErrorMessage(error), this.context.endpoint)
  }

  private sendOutputs (hosted: HostedSession, batch: OutputBatch | undefined): void {
    if (batch === undefined) return
    const { request, stage } = hosted.session
    const { attempt, position, outputs, next } = batch
    if (next === undefined) {
      this.transport.sendToEntry(hosted.connection, { tokens: { request, attempt, position, tokens: outputs as Token[] } })
      return
    }
    const step = { request, attempt, stage: stage + 1, position, rows: outputs as Uint8Array[] }
    this.transport.sendToStage(next, { step })
  }

  private sendStatus (hosted: HostedSession): void {
    if (hosted.isEncoding) return
    const status = hosted.session.createStatus()
    const promptRows = status.acceptedTo === 0 ? hosted.promptRows : []
    this.transport.sendToEntry(hosted.connection, { status: { ...status, promptRows } })
  }

  private sendFailed (hosted: HostedSession, kind: ErrorKind, message: string, culprit: string): void {
    const { request, stage } = hosted.session
    const attempt = hosted.session.getAttempt()
    this.context.journal.record({ name: 'stage-failed', request, endpoint: culprit, detail: message })
    this.transport.sendToEntry(hosted.connection, { failed: { request, attempt, stage, kind, message, culprit } })
  }

  private closeSession (hosted: HostedSession): void {
    if (hosted.isClosed) return
    hosted.isClosed = true
    hosted.deadline?.cancel()
    this.admission.remove(hosted.session.team)
    if (this.sessions.get(hosted.session.request) === hosted) this.sessions.delete(hosted.session.request)
    this.engine.endSession(hosted.engineSession)
  }
}
