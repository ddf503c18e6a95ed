/**
 * Drives one forwarded call from admission to the end of its answer: places it on an endpoint or path, queues it while no
 * capacity is free, sends it, and retries it elsewhere where the retry rule allows.
 */
import type { ServerResponse } from 'node:http'
import type { Timer } from '@clementineloft/kernel'
import { AttemptEnd, canRunAgain, NextStep, StartResult } from '@clementineloft/routing'
import type { CallEndpoint, PathPart } from '@clementineloft/routing'
import { AnswerWriter } from '../callers/answer-writer.js'
import type { AdmittedCall } from './admitted-call.js'
import { AttemptHistory } from './attempt-history.js'
import type { AttemptResult } from './attempt-listener.js'
import { CallAttempt } from './call-attempt.js'
import { CallEnding } from './call-ending.js'
import { CallJournal } from './call-journal.js'
import type { CallEventData } from './call-journal.js'
import type { Placement } from './call-placement.js'
import { CallProgress } from './call-progress.js'
import { CallStart } from './call-start.js'
import { CallWaiting } from './call-waiting.js'
import { CrashEvidence } from './crash-evidence.js'
import type { ForwardingContext } from './forwarding-context.js'
import { RefusalReason } from './refusal-reason.js'
import type { RunningCall } from './running-call.js'
import { StreamFailover } from './stream-failover.js'

/** State machine of one call. It completes exactly once: with an answer, an error, or the caller's disconnection. */
export class CallRun implements RunningCall {
  readonly rank: number
  readonly service: string
  readonly team: string
  readonly cost: number
  readonly need: number
  untilMs = 0
  /** Failover of the answer; `undefined` unless the route serves event streams. */
  readonly failover: StreamFailover | undefined
  private readonly writer: AnswerWriter
  private readonly deadlineMs: number
  private readonly attemptHistory: AttemptHistory
  private readonly evidence: CrashEvidence
  private readonly journal: CallJournal
  private readonly progress: CallProgress
  private readonly callStart: CallStart
  private readonly waiting: CallWaiting
  private readonly ending: CallEnding
  private attempt: CallAttempt | undefined
  private deadline: Timer | undefined
  /** Whether the call found no placement because endpoints or layers were missing, rather than free capacity. */
  private isServiceUnavailable = false

  constructor (
    private readonly context: ForwardingContext,
    private readonly admittedCall: AdmittedCall,
    response: ServerResponse
  ) {
    const { clock, journal, metrics, crashes } = context
    const { call, route, service, team, traits, arrivedMs } = admittedCall
    this.writer = new AnswerWriter(response, () => context.isLeaving)
    this.deadlineMs = arrivedMs + Math.min(route.timeoutMs, call.callerTimeoutMs ?? Infinity)
    this.attemptHistory = new AttemptHistory(route, context.getRetryWindow(service))
    this.evidence = new CrashEvidence(crashes, clock, traits)
    this.journal = new CallJournal(journal, clock, admittedCall)
    this.progress = new CallProgress(clock, metrics, arrivedMs, call.lastEventId)
    this.callStart = new CallStart(context, admittedCall, this.progress)
    this.waiting = new CallWaiting(context, admittedCall, this.progress, this.callStart, this.deadlineMs)
    this.rank = admittedCall.rank
    this.service = service
    this.team = team ?? ''
    this.cost = call.size === undefined ? 1 : call.size.promptTokens + call.size.answerTokens
    this.need = call.size?.promptTokens ?? 0
    this.failover = route.isStream ? this.createFailover() : undefined
    this.ending = new CallEnding(context, admittedCall, this.writer, this.attemptHistory, this.evidence, {
      deadlineMs: this.deadlineMs,
      bookRetry: () => this.waiting.bookRetry(this, this.isServiceUnavailable),
      settle: (outcome) => { this.settle(outcome) },
      release: () => { context.release(this) }
    })
    response.on('close', () => {
      if (!response.writableFinished) this.ending.complete(() => {}, 'caller-left')
    })
  }

  /** Whether the call was sent before; it then goes before others of its rank. */
  get isResumed (): boolean {
    return this.attemptHistory.triedEndpointIds.size > 0
  }

  /** Arms the deadline and makes the first attempt. */
  start (): void {
    const { clock } = this.context
    this.deadline = clock.schedule(this.deadlineMs - clock.now(), () => { this.endAtDeadline() })
    this.context.getRetryWindow(this.admittedCall.service).recordRequest()
    this.sendOrEnqueue()
  }

  /** Tries to start a queued call. It leaves the queue if it was placed. */
  startFromQueue (): StartResult {
    if (!this.canStart()) return StartResult.heldBack
    const placement = this.findPlacement()
    if (placement === undefined) return StartResult.noCapacity
    this.sendTo(placement)
    return StartResult.started
  }

  isSent (): boolean {
    return this.attempt !== undefined
  }

  hasBegun (): boolean {
    return this.writer.hasBegun()
  }

  /** @returns whether the endpoint with this id has sent the head of the answer, and no event yet */
  isBeginningAt (endpointId: string): boolean {
    return this.attempt?.isBeginningAt(endpointId) === true
  }

  /** Records that an endpoint does not answer its sidecar any more, which may be due to the call. */
  recordSilence (endpoint: CallEndpoint): void {
    this.attempt?.recordSilence(endpoint)
  }

  /** Ends the call if calls with its traits are refused now, unless an endpoint has survived its answer. */
  handleQuarantine (): void {
    if (this.ending.hasEnded() || !this.evidence.isAgainstCall()) return
    if (this.attempt !== undefined) this.attemptHistory.hasMaybeRun = true
    this.ending.finishQuarantined()
  }

  /** Ends the call since the process stops: with an answer, or by cutting off the one that has begun. */
  handleShutdown (): void {
    if (this.ending.hasEnded()) return
    if (this.attempt !== undefined) this.attemptHistory.hasMaybeRun = true
    this.ending.finishUnplaced(RefusalReason.stopping, 'the grace period of this instance has ended')
  }

  /** Ends a queued call whose maximum queue time has passed. */
  rejectExpired (): void {
    this.context.rankAdmission.recordRefusal(this)
    this.ending.finishUnplaced(RefusalReason.waitEnded, 'no capacity became free within the queue time limit')
  }

  /** @returns whether the route and the retry budget allow another attempt, and a placement for it is available */
  private canRetry (): boolean {
    const { route, service, call } = this.admittedCall
    const { placement: callPlacement } = this.context
    const avoidedIds = new Set(this.attemptHistory.triedEndpointIds)
    if (this.attempt !== undefined) avoidedIds.add(this.attempt.getPlacement().endpoint.id)
    return canRunAgain(route) && this.progress.canResume() && this.attemptHistory.hasAttemptLeft() &&
      callPlacement.find(service, call.size, avoidedIds, route.name) !== undefined
  }

  /**
   * Cancels the current attempt and retries elsewhere. If that is not possible it does nothing, since a stream that is
   * merely silent may still continue.
   */
  private abandonPath (reason: string): void {
    if (!this.canRetry()) return
    this.record('path-left', { reason })
    this.attempt?.cancel()
    this.handleEnd({ end: this.writer.hasBegun() ? AttemptEnd.cut : AttemptEnd.unknown, mayHaveRun: true })
  }

  private createFailover (): StreamFailover {
    return new StreamFailover(this.context, {
      id: this.admittedCall.call.id,
      service: this.admittedCall.service,
      getPlacement: () => this.ending.hasEnded() ? undefined : this.attempt?.getPlacement(),
      getLastProgressMs: () => this.progress.lastProgressMs,
      changeParts: (parts) => { this.changeParts(parts) },
      abandonPath: (reason) => { this.abandonPath(reason) },
      record: (name, data) => { this.record(name, { ...data, events: this.progress.events }) }
    })
  }

  private changeParts (parts: PathPart[]): void {
    this.attempt?.changeParts(parts)
    this.progress.recordSend()
  }

  /** @returns whether capacity that is free may be used; a call that was sent before has been admitted already */
  private canStart (): boolean {
    return this.isResumed || (this.context.rankAdmission.accept(this) && this.callStart.canStart())
  }

  private findPlacement (): Placement | undefined {
    const { call, service, route } = this.admittedCall
    return this.context.placement.find(service, call.size, this.attemptHistory.triedEndpointIds, route.name)
  }

  private sendOrEnqueue (): void {
    if (this.evidence.isAgainstCall()) {
      this.ending.finishQuarantined()
      return
    }
    const placement = this.context.queues.startBefore(this) && this.canStart() ? this.findPlacement() : undefined
    if (placement !== undefined) {
      this.sendTo(placement)
      return
    }
    this.isServiceUnavailable = !this.context.placement.hasAllLayers(this.admittedCall.service)
    this.enqueueOrReject()
  }

  private enqueueOrReject (): void {
    const { clock, queues, directory } = this.context
    const waitMs = this.waiting.estimateWait(this)
    const limitMs = this.waiting.computeLimit()
    if (directory.findEngine(this.service) === undefined || clock.now() + waitMs >= limitMs) {
      this.context.rankAdmission.recordRefusal(this)
      this.ending.finishUnplaced(this.isServiceUnavailable ? RefusalReason.uncovered : RefusalReason.expectedWait, `no capacity is free, and the estimated queue time is ${Math.round(waitMs)} ms`)
      return
    }
    this.untilMs = limitMs
    this.record('call-waits', { ahead: queues.get(this.service).getLength(), expectedMs: Math.round(waitMs) })
    queues.add(this)
    this.context.rankAdmission.handleWaiting(this)
  }

  private sendTo (placement: Placement): void {
    const { clock, queues } = this.context
    if (placement.parts === undefined) queues.remove(this)
    else queues.get(this.service).recordStart(this)
    this.context.rankAdmission.recordStart(this)
    this.progress.recordSend()
    this.callStart.recordSend()
    const { lastEventId } = this.progress
    const start = {
      placement,
      evidence: this.evidence,
      remainingMs: Math.max(1, Math.floor(this.deadlineMs - clock.now())),
      ...(lastEventId === undefined ? {} : { lastEventId })
    }
    this.attempt = new CallAttempt(this.context, this.admittedCall, this.writer, start, {
      handleEvents: (count, lastId) => {
        this.waiting.recordAnswer()
        this.progress.recordEvents(count, lastId)
        this.callStart.recordEvents()
        this.failover?.recordProgress()
      },
      handleComplete: (finish) => {
        if (!this.admittedCall.route.isStream) this.waiting.recordAnswer()
        this.ending.complete(finish)
      },
      handleEnd: (result) => { this.handleEnd(result) },
      record: (name, data) => { this.record(name, { ...data, events: this.progress.events }) }
    })
  }

  private handleEnd ({ end, mayHaveRun, failure }: AttemptResult): void {
    if (this.attempt !== undefined) this.attemptHistory.triedEndpointIds.add(this.attempt.getPlacement().endpoint.id)
    this.attempt = undefined
    this.callStart.recordEnd()
    if (failure !== undefined) this.attemptHistory.failure = failure
    const step = this.attemptHistory.recordEnd(end, mayHaveRun, this.deadlineMs - this.context.clock.now())
    if (step !== NextStep.repeat) this.ending.finish(step, `the last attempt ended as ${end}`)
    else if (this.progress.canResume()) this.sendOrEnqueue()
    else this.ending.finish(NextStep.cutOff, 'the id of the last event cannot be sent to another endpoint')
  }

  private endAtDeadline (): void {
    if (this.ending.hasEnded()) return
    const wasSent = this.attemptHistory.hasMaybeRun || this.attempt !== undefined
    this.attempt?.cancel()
    this.attempt = undefined
    this.ending.finishAtDeadline(wasSent)
  }

  private settle (outcome: string): void {
    this.deadline?.cancel()
    this.callStart.recordEnd()
    if (outcome === 'answered') this.attempt?.complete()
    else this.attempt?.cancel()
    this.attempt = undefined
    const { runs, refusals } = this.attemptHistory
    const { events, longestPauseMs } = this.progress
    const { call, route } = this.admittedCall
    if (outcome === 'answered' && route.isStream) this.context.directory.recordAnswer(route.name, call.size, events)
    this.record('call-ended', { outcome, runs, refusals, events, longestPauseMs: Math.round(longestPauseMs) })
  }

  private record (name: string, data: CallEventData): void {
    this.journal.record(name, data)
  }
}
