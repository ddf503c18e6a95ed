/**
 * Hosts the requests that run at one model endpoint.
 */
import { ErrorKind, getErrorKind, getErrorMessage } from '@clementineloft/kernel'
import type { Clock, Journal, Metrics, Timer } from '@clementineloft/kernel'
import { Admission } from './admission.js'
import type { FreeFactor } from './admission.js'
import { AttemptTombstones } from './attempt-tombstones.js'
import type { LoadedLayers } from './engine-orders.js'
import { EngineExecutor, isEngineCrash } from './engine-executor.js'
import type { ExecutorOptions } from './engine-executor.js'
import { EngineWatch } from './engine-watch.js'
import type { TeamWeights } from './fair-queue.js'
import { getFrameRequest } from './frames.js'
import type { Frame, Hop, OpenFrame, StepFrame, Token } from './frames.js'
import type { ModelEngine } from './model-engine.js'
import { StageSession, StepVerdict } from './stage-session.js'
import type { Delivery, StageOutput } from './stage-session.js'

/** Sends frames away from a sidecar. */
export abstract class StageOutlet {
  /** Sends a frame to the entry behind a connection; does nothing if the connection is gone. */
  abstract sendToEntry (connection: string, frame: Frame): void
  /** Sends a frame to the next stage; a lost stage is reported by {@link StageHost.handleHopLost}. */
  abstract sendToStage (next: Hop, frame: Frame): void
  /**
   * Tells the fleet that the engine crashed while requests with these fingerprints were running.
   *
   * @returns a promise that resolves when the fleet knows, or after a short time
   */
  abstract reportCrash (fingerprints: readonly string[]): Promise<void>
}

/** Bounds of a stage host. */
export interface StageHostOptions extends ExecutorOptions {
  /** Requests held at the same time. */
  maxSessions: number
  /** Bound on the outputs kept for each request, in bytes. */
  maxLogBytes: number
}

/** What a host asks of the rest of its process. */
export interface StageHostContext {
  /** Name of the endpoint. */
  endpoint: string
  clock: Clock
  journal: Journal
  metrics: Metrics
  getWeight: TeamWeights
  getFreeFactor: FreeFactor
  /** Requests that the endpoint may hold without missing the target for the time between tokens. */
  getPlaces: () => number
  /** Whether the engine has the layers that a reservation asks for. */
  hasLayers: (layers: LoadedLayers) => boolean
  /** Whether a request with this fingerprint was running when an engine crashed. */
  isSuspect: (fingerprint: string) => boolean
  /** Whether a request with this fingerprint is refused everywhere. */
  isQuarantined: (fingerprint: string) => boolean
}

interface HostedSession {
  session: StageSession
  /** Connection of the entry that drives the request. */
  connection: string
  engineSession: string
  isLastStage: boolean
  /** Tokens of the prompt, at the first stage. */
  promptRows: Uint8Array[]
  /** Whether the engine is still encoding the prompt; the stage has no status before. */
  isEncoding: boolean
  /** Ends when all accepted steps have run. */
  tail: Promise<void>
  /** Ends the request when its answer is of no use any more. */
  deadline: Timer | undefined
  isClosed: boolean
}

/** Serves one endpoint's share of many pipelines. */
export class StageHost {
  private readonly sessions = new Map<string, HostedSession>()
  private readonly tombstones: AttemptTombstones
  private readonly engineWatch: EngineWatch
  private readonly executor: EngineExecutor
  private readonly admission: Admission
  private isLeaving = false
  private crashReport = Promise.resolve()

  constructor (
    private readonly context: StageHostContext,
    private readonly engine: ModelEngine,
    private readonly outlet: StageOutlet,
    private readonly options: StageHostOptions
  ) {
    this.tombstones = new AttemptTombstones(context.clock)
    this.engineWatch = new EngineWatch(context.endpoint, engine, context.clock, context.journal)
    this.admission = new Admission(() => Math.min(options.maxSessions, context.getPlaces()), context.getFreeFactor)
    this.executor = new EngineExecutor(engine, context.clock, options, context.getWeight, (fingerprints) => {
      this.crashReport = this.outlet.reportCrash(fingerprints)
    })
  }

  /** @returns number of requests held */
  countSessions (): number {
    return this.sessions.size
  }

  /** @returns the load reported to entries: requests held, counted more if the engine has become slow */
  getLoad (): number {
    return Math.round(this.sessions.size * this.executor.getSlowdown())
  }

  /** @returns number of steps that wait for the engine */
  getBacklog (): number {
    return this.executor.getBacklog()
  }

  /** @returns size of all output logs in bytes */
  getLogBytes (): number {
    return [...this.sessions.values()].reduce((sum, hosted) => sum + hosted.session.getLogBytes(), 0)
  }

  /** @param isLeaving - whether new requests are refused; those held go on */
  setLeaving (isLeaving: boolean): void {
    this.isLeaving = isLeaving
  }

  /** Asks entries to move the requests held here to other endpoints; each is served until its entry closes it. */
  evictAll (): void {
    const message = `endpoint "${this.context.endpoint}" is shutting down`
    for (const hosted of this.sessions.values()) this.sendFailed(hosted, ErrorKind.leaving, message, this.context.endpoint)
  }

  /**
   * Takes a frame from an entry or from the stage before.
   *
   * @param connection - connection on which it arrived
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
    if (frame.forward != null) this.deliver(hosted, hosted.session.forward(frame.forward))
    if (frame.reroute != null && hosted.session.reroute(frame.reroute)) this.sendStatus(hosted)
    if (frame.probe != null && frame.probe.attempt === hosted.session.getAttempt()) this.sendStatus(hosted)
  }

  /** Ends the requests of an entry whose connection is gone. */
  handleConnectionLost (connection: string): void {
    for (const hosted of [...this.sessions.values()]) {
      if (hosted.connection !== connection) continue
      this.tombstones.add(hosted.session.request, hosted.session.getAttempt())
      this.closeSession(hosted)
    }
  }

  /**
   * Tells entries that the next stage of their requests cannot be reached.
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
    const older = this.sessions.get(open.request)
    if (older !== undefined) this.closeSession(older)
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
    const newest = Math.max(this.tombstones.getNewest(open.request), this.sessions.get(open.request)?.session.getAttempt() ?? 0)
    if (open.attempt <= newest) {
      return { kind: ErrorKind.superseded, message: `attempt ${open.attempt} was replaced by ${newest} or ended` }
    }
    if (this.context.isQuarantined(open.fingerprint)) {
      return { kind: ErrorKind.quarantined, message: 'the same request crashed several endpoints before' }
    }
    if (this.engineWatch.isDown()) return { kind: ErrorKind.noCapacity, message: `the engine of endpoint "${endpoint}" is down` }
    if (!this.context.hasLayers(open)) {
      return { kind: ErrorKind.noCapacity, message: `endpoint "${endpoint}" does not hold layers ${open.firstLayer}-${open.lastLayer} of model "${open.model}"` }
    }
    if (!this.admission.canAdmit(open.team)) {
      return { kind: ErrorKind.overloaded, message: `endpoint "${endpoint}" holds ${this.sessions.size} requests; no place for team "${open.team}"` }
    }
    return undefined
  }

  private refuse (connection: string, open: OpenFrame, kind: ErrorKind, message: string): void {
    this.context.metrics.count(`stage_refused_total{kind="${kind}"}`)
    const { request, team, attempt, stage } = open
    const data = { kind, held: this.sessions.size, places: this.context.getPlaces() }
    this.context.journal.record({ name: 'stage-refused', request, team, endpoint: this.context.endpoint, detail: message, data })
    this.outlet.sendToEntry(connection, { refused: { request, attempt, stage, kind, message } })
  }

  private handleStep (step: StepFrame): void {
    const hosted = this.sessions.get(step.request)
    if (hosted === undefined) return
    const decision = hosted.session.acceptStep(step)
    this.context.metrics.count(`stage_steps_total{verdict="${decision.verdict}"}`)
    if (decision.verdict === StepVerdict.gap) {
      const message = `endpoint "${this.context.endpoint}" missed inputs before position ${step.position}`
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
    const terms = { team, fingerprint, isSuspect: session.isSuspect || this.context.isSuspect(fingerprint) }
    try {
      await this.executor.run(step, terms, (outputs) => { this.handleOutputs(hosted, outputs) })
    } catch (error) {
      await this.handleStepError(hosted, error)
    }
  }

  private handleOutputs (hosted: HostedSession, outputs: StageOutput[]): void {
    this.context.metrics.count('stage_rows_total', outputs.length)
    if (!hosted.isClosed) this.deliver(hosted, hosted.session.complete(outputs))
  }

  private async handleStepError (hosted: HostedSession, error: unknown): Promise<void> {
    if (isEngineCrash(error)) await this.crashReport
    if (hosted.isClosed) return
    this.reportEngineError(hosted, error)
    this.closeSession(hosted)
  }

  /** Tells the entry of an error; an engine that could not be reached has not run the request. */
  private reportEngineError (hosted: HostedSession, error: unknown): void {
    const isUnreached = getErrorKind(error) === ErrorKind.endpointFailed && !isEngineCrash(error)
    const kind = isUnreached ? ErrorKind.noCapacity : getErrorKind(error)
    this.engineWatch.noteError(error)
    this.sendFailed(hosted, kind, getErrorMessage(error), this.context.endpoint)
  }

  private deliver (hosted: HostedSession, delivery: Delivery | undefined): void {
    if (delivery === undefined) return
    const { request, stage } = hosted.session
    const { attempt, position, outputs, next } = delivery
    if (next === undefined) {
      this.outlet.sendToEntry(hosted.connection, { tokens: { request, attempt, position, tokens: outputs as Token[] } })
      return
    }
    const step = { request, attempt, stage: stage + 1, position, rows: outputs as Uint8Array[] }
    this.outlet.sendToStage(next, { step })
  }

  private sendStatus (hosted: HostedSession): void {
    if (hosted.isEncoding) return
    const status = hosted.session.createStatus()
    const promptRows = status.acceptedTo === 0 ? hosted.promptRows : []
    this.outlet.sendToEntry(hosted.connection, { status: { ...status, promptRows } })
  }

  private sendFailed (hosted: HostedSession, kind: ErrorKind, message: string, culprit: string): void {
    const { request, stage } = hosted.session
    const attempt = hosted.session.getAttempt()
    this.context.journal.record({ name: 'stage-failed', request, endpoint: culprit, detail: message })
    this.outlet.sendToEntry(hosted.connection, { failed: { request, attempt, stage, kind, message, culprit } })
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
