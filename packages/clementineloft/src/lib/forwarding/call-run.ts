/**
 * Drives one forwarded call from admission to the end of its answer: places it on an endpoint or path, queues it while no
 * capacity is free, sends it, and retries it elsewhere where the retry rule allows.
 */
import type { ServerResponse } from 'node:http'
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { Timer } from '@clementineloft/kernel'
import { AttemptEnd, canRunAgain, computeRetryDelay, NextStep } from '@clementineloft/routing'
import type { CallEndpoint, PathPart } from '@clementineloft/routing'
import { AnswerWriter } from '../callers/answer-writer.js'
import { isHeaderValue } from '../callers/message-text.js'
import type { AdmittedCall } from './admitted-call.js'
import { AttemptHistory } from './attempt-history.js'
import type { FinalStep } from './attempt-history.js'
import { CallAttempt } from './call-attempt.js'
import type { AttemptResult } from './call-attempt.js'
import type { Placement } from './call-placement.js'
import { CrashEvidence } from './crash-evidence.js'
import type { ForwardingContext } from './forwarding-context.js'
import type { RunningCall } from './running-call.js'
import { StreamFailover } from './stream-failover.js'

/** Maximum time a call is queued, in milliseconds. Callers of streams disconnect after two seconds without an event. */
const maxQueueTimeMs = 1500

/** State machine of one call. It completes exactly once: with an answer, an error, or the caller's disconnection. */
export class CallRun implements RunningCall {
  readonly rank: number
  readonly team: string
  readonly cost: number
  untilMs = 0
  /** Failover of the answer; `undefined` unless the route serves event streams. */
  readonly failover: StreamFailover | undefined
  private readonly writer: AnswerWriter
  private readonly deadlineMs: number
  private readonly attemptHistory: AttemptHistory
  private readonly evidence: CrashEvidence
  private attempt: CallAttempt | undefined
  private deadline: Timer | undefined
  private lastEventId: string | undefined
  private events = 0
  private lastProgressMs = 0
  private longestPauseMs = 0
  private isFinished = false
  /** Whether the call found no placement because endpoints or layers were missing, rather than free capacity. */
  private isServiceUnavailable = false

  constructor (
    private readonly context: ForwardingContext,
    private readonly admittedCall: AdmittedCall,
    response: ServerResponse
  ) {
    this.writer = new AnswerWriter(response, () => context.isLeaving)
    const { call, route, arrivedMs } = admittedCall
    this.deadlineMs = arrivedMs + Math.min(route.timeoutMs, call.callerTimeoutMs ?? Infinity)
    this.attemptHistory = new AttemptHistory(route, context.getRetryWindow(admittedCall.service))
    this.evidence = new CrashEvidence(context.crashes, context.clock, admittedCall.traits)
    this.lastEventId = call.lastEventId
    this.rank = admittedCall.rank
    this.team = admittedCall.team ?? ''
    this.cost = call.size === undefined ? 1 : call.size.promptTokens + call.size.answerTokens
    this.failover = route.isStream ? this.createFailover() : undefined
    response.on('close', () => {
      if (!response.writableFinished) this.handleCallerDisconnect()
    })
  }

  /** Arms the deadline and makes the first attempt. */
  start (): void {
    const { clock } = this.context
    this.deadline = clock.schedule(this.deadlineMs - clock.now(), () => { this.endAtDeadline() })
    this.context.getRetryWindow(this.admittedCall.service).recordRequest()
    this.sendOrEnqueue()
  }

  /** Retries placement of a queued call. @returns whether the call was placed and left the queue */
  startFromQueue (): boolean {
    const { call, service } = this.admittedCall
    const placement = this.context.placement.find(service, call.size, this.attemptHistory.triedEndpointIds)
    if (placement === undefined) return false
    this.context.waitingCalls.remove(this)
    this.sendTo(placement)
    return true
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
    if (this.isFinished || !this.evidence.isAgainstCall()) return
    if (this.attempt !== undefined) this.attemptHistory.hasMaybeRun = true
    this.finishQuarantined()
  }

  /** Ends the call since the process stops: with an answer, or by cutting off the one that has begun. */
  handleShutdown (): void {
    if (this.isFinished) return
    if (this.attempt !== undefined) this.attemptHistory.hasMaybeRun = true
    this.finishUnplaced('the grace period of this instance has ended')
  }

  /** Ends a queued call whose maximum queue time has passed. */
  rejectExpired (): void {
    this.finishUnplaced('no capacity became free within the queue time limit')
  }

  /** @returns whether the route and the retry budget allow another attempt, and a placement for it is available */
  private canRetry (): boolean {
    const { route, service, call } = this.admittedCall
    const { placement: callPlacement } = this.context
    const avoidedIds = new Set(this.attemptHistory.triedEndpointIds)
    if (this.attempt !== undefined) avoidedIds.add(this.attempt.getPlacement().endpoint.id)
    return canRunAgain(route) && this.canResume() && this.attemptHistory.hasAttemptLeft() && callPlacement.find(service, call.size, avoidedIds) !== undefined
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
      getPlacement: () => this.isFinished ? undefined : this.attempt?.getPlacement(),
      getLastProgressMs: () => this.lastProgressMs,
      changeParts: (parts) => { this.changeParts(parts) },
      abandonPath: (reason) => { this.abandonPath(reason) },
      record: (name, data) => { this.record(name, { ...data, events: this.events }) }
    })
  }

  private changeParts (parts: PathPart[]): void {
    this.attempt?.changeParts(parts)
    this.lastProgressMs = this.context.clock.now()
  }

  private sendOrEnqueue (): void {
    const { call, service } = this.admittedCall
    if (this.evidence.isAgainstCall()) {
      this.finishQuarantined()
      return
    }
    const placement = this.context.placement.find(service, call.size, this.attemptHistory.triedEndpointIds)
    if (placement !== undefined) {
      this.sendTo(placement)
      return
    }
    this.isServiceUnavailable = !this.context.placement.hasAllLayers(service)
    this.enqueueOrReject()
  }

  private enqueueOrReject (): void {
    const { clock, waitingCalls, directory } = this.context
    const nowMs = clock.now()
    const waitMs = this.estimateWait()
    const waitDeadlineMs = Math.min(this.deadlineMs, (this.events === 0 ? this.admittedCall.arrivedMs : this.lastProgressMs) + maxQueueTimeMs)
    if (directory.findEngine(this.admittedCall.service) === undefined || nowMs + waitMs >= waitDeadlineMs) {
      this.finishUnplaced(`no capacity is free, and the estimated queue time is ${Math.round(waitMs)} ms`)
      return
    }
    this.untilMs = waitDeadlineMs
    this.record('call-waits', { ahead: waitingCalls.getLength(), expectedMs: Math.round(waitMs) })
    waitingCalls.add(this)
  }

  /** @returns expected time until an endpoint may take the call, in milliseconds */
  private estimateWait (): number {
    const { waitingCalls, placement } = this.context
    return Math.max(waitingCalls.estimateWait(this.rank), placement.getPauseMs(this.admittedCall.service))
  }

  private sendTo (placement: Placement): void {
    const { clock, waitingCalls } = this.context
    if (placement.parts !== undefined) waitingCalls.recordStart(this.team, this.cost)
    this.lastProgressMs = clock.now()
    const start = {
      placement,
      evidence: this.evidence,
      remainingMs: Math.max(1, Math.floor(this.deadlineMs - clock.now())),
      ...(this.lastEventId === undefined ? {} : { lastEventId: this.lastEventId })
    }
    this.attempt = new CallAttempt(this.context, this.admittedCall, this.writer, start, {
      handleEvents: (count, lastId) => { this.recordEvents(count, lastId) },
      handleComplete: (finish) => { this.complete(finish) },
      handleEnd: (result) => { this.handleEnd(result) },
      record: (name, data) => { this.record(name, { ...data, events: this.events }) }
    })
  }

  private recordEvents (count: number, lastId: string | undefined): void {
    const { clock, metrics } = this.context
    const nowMs = clock.now()
    if (this.events === 0) metrics.observe('first_event_ms', nowMs - this.admittedCall.arrivedMs)
    else this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastProgressMs)
    this.events += count
    this.lastProgressMs = nowMs
    this.failover?.recordProgress()
    if (lastId !== undefined) this.lastEventId = lastId
  }

  private handleEnd ({ end, mayHaveRun, failure }: AttemptResult): void {
    if (this.attempt !== undefined) this.attemptHistory.triedEndpointIds.add(this.attempt.getPlacement().endpoint.id)
    this.attempt = undefined
    if (failure !== undefined) this.attemptHistory.failure = failure
    const step = this.attemptHistory.recordEnd(end, mayHaveRun, this.deadlineMs - this.context.clock.now())
    if (step !== NextStep.repeat) this.finish(step, `the last attempt ended as ${end}`)
    else if (this.canResume()) this.sendOrEnqueue()
    else this.finish(NextStep.cutOff, 'the id of the last event cannot be sent to another endpoint')
  }

  /** @returns whether another endpoint can be told after which event to go on */
  private canResume (): boolean {
    return this.lastEventId === undefined || isHeaderValue(this.lastEventId)
  }

  private finishUnplaced (reason: string): void {
    this.finish(this.attemptHistory.chooseFinalStep(this.writer.hasBegun()), reason)
  }

  private finishQuarantined (): void {
    const reason = 'calls with the same content or prompt part have crashed several endpoints; change it before a retry'
    const step = this.attemptHistory.chooseFinalStep(this.writer.hasBegun())
    if (step === NextStep.refuse) this.sendError(ErrorKind.quarantined, reason)
    else this.finish(step, reason)
  }

  private finish (step: FinalStep, reason: string): void {
    if (step === NextStep.cutOff || this.writer.hasBegun()) {
      this.complete(() => { this.writer.cutOff() }, 'cut')
      return
    }
    const { failure } = this.attemptHistory
    if (step === NextStep.passOn && failure !== undefined) {
      const { head, body } = failure
      this.complete(() => { this.writer.sendWhole(head, body) }, 'failed')
      return
    }
    this.sendError(step === NextStep.refuse ? ErrorKind.noCapacity : ErrorKind.outcomeUnknown, reason)
  }

  private sendError (kind: ErrorKind, reason: string): void {
    const { protocol } = this.context
    const { call } = this.admittedCall
    const state = {
      remainingMs: this.deadlineMs - this.context.clock.now(),
      isCoverageMissing: this.isServiceUnavailable,
      waitMs: this.estimateWait()
    }
    const retryAfterMs = kind === ErrorKind.quarantined ? this.evidence.computeRefusalMs() : computeRetryDelay(state, this.context.random)
    const answer = protocol.createAnswer(call, createError(kind, reason), retryAfterMs)
    this.complete(() => { this.writer.sendLocalAnswer(answer, false) }, kind)
  }

  private endAtDeadline (): void {
    if (this.isFinished) return
    const wasSent = this.attemptHistory.hasMaybeRun || this.attempt !== undefined
    this.attempt?.cancel()
    this.attempt = undefined
    const step = this.attemptHistory.chooseFinalStep(this.writer.hasBegun())
    if (step === NextStep.cutOff || step === NextStep.passOn) this.finish(step, 'the deadline has passed')
    else this.sendError(wasSent ? ErrorKind.deadline : ErrorKind.noCapacity, 'the deadline has passed')
  }

  private handleCallerDisconnect (): void {
    if (this.isFinished) return
    this.complete(() => {}, 'caller-left')
  }

  private complete (send: () => void, outcome = 'answered'): void {
    if (this.isFinished) return
    this.isFinished = true
    this.deadline?.cancel()
    if (outcome === 'answered') this.attempt?.complete()
    else this.attempt?.cancel()
    this.attempt = undefined
    this.record('call-ended', { outcome, runs: this.attemptHistory.runs, refusals: this.attemptHistory.refusals, events: this.events, longestPauseMs: Math.round(this.longestPauseMs) })
    this.context.metrics.count(`calls_total{outcome="${outcome}"}`)
    send()
    this.context.release(this)
  }

  private record (name: string, data: Record<string, string | number | boolean>): void {
    const { call, team } = this.admittedCall
    const tookMs = Math.round(this.context.clock.now() - this.admittedCall.arrivedMs)
    this.context.journal.record({
      name, request: call.id, ...(team === undefined ? {} : { team }), data: { ...data, route: this.admittedCall.route.name, tookMs }
    })
  }
}
