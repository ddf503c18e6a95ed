/**
 * One call on its way: waits for a place, is sent there, and is sent again elsewhere where the rule allows it.
 */
import type { ServerResponse } from 'node:http'
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { Timer } from '@clementineloft/kernel'
import { AttemptEnd, canRunAgain, computeReturnTime, NextStep } from '@clementineloft/routing'
import type { PathPart, WaitingCall } from '@clementineloft/routing'
import { AnswerWriter } from '../callers/answer-writer.js'
import type { AdmittedCall } from './admitted-call.js'
import { AttemptHistory } from './attempt-history.js'
import type { FinalStep } from './attempt-history.js'
import { CallAttempt } from './call-attempt.js'
import type { AttemptResult } from './call-attempt.js'
import type { Placement } from './call-placement.js'
import type { ForwardingContext } from './forwarding-context.js'
import { StreamRescue } from './stream-rescue.js'

/** Longest time that a call waits for a place, in milliseconds; callers of streams leave after two seconds of silence. */
const longestWaitMs = 1500

/** Drives one call to its answer. */
export class CallRun implements WaitingCall {
  readonly rank: number
  readonly team: string
  readonly cost: number
  untilMs = 0
  /** Keeps the answer going, if it is a stream of events. */
  readonly rescue: StreamRescue | undefined
  private readonly writer: AnswerWriter
  private readonly deadlineMs: number
  private readonly attempts: AttemptHistory
  private attempt: CallAttempt | undefined
  private deadline: Timer | undefined
  private lastEventId: string | undefined
  private events = 0
  private progressMs = 0
  private longestPauseMs = 0
  private isOver = false
  /** Whether the last search found no endpoints at all for some layer, rather than none with room. */
  private isPlaceMissing = false

  constructor (
    private readonly context: ForwardingContext,
    private readonly routed: AdmittedCall,
    response: ServerResponse
  ) {
    this.writer = new AnswerWriter(response, () => context.isLeaving)
    const { call, route, arrivedMs } = routed
    this.deadlineMs = arrivedMs + Math.min(route.timeoutMs, call.patienceMs ?? Infinity)
    this.attempts = new AttemptHistory(route, context.getRetryWindow(routed.service))
    this.lastEventId = call.lastEventId
    this.rank = routed.rank
    this.team = routed.team ?? ''
    this.cost = call.size === undefined ? 1 : call.size.promptTokens + call.size.answerTokens
    this.rescue = route.isStream ? this.createRescue() : undefined
    response.on('close', () => {
      if (!response.writableFinished) this.abandon()
    })
  }

  /** Sends the call for the first time. */
  start (): void {
    const { clock } = this.context
    this.deadline = clock.schedule(this.deadlineMs - clock.now(), () => { this.endAtDeadline() })
    this.context.getRetryWindow(this.routed.service).recordRequest()
    this.sendToNext()
  }

  /** Looks for a place again. @returns whether the call left the line */
  startFromLine (): boolean {
    const { call, service } = this.routed
    const placement = this.context.placement.find(service, call.size, this.attempts.tried)
    if (placement === undefined) return false
    this.context.waiting.remove(this)
    this.sendTo(placement)
    return true
  }

  /** Ends a call that has waited too long. */
  endWaiting (): void {
    this.finishWithout('no place became free in time')
  }

  /** @returns whether the stream may be sent again and there is a place for it; otherwise it is left where it is */
  private canMoveOn (): boolean {
    const { route, service, call } = this.routed
    const { placement: places } = this.context
    const avoided = new Set(this.attempts.tried)
    if (this.attempt !== undefined) avoided.add(this.attempt.getPlacement().endpoint.id)
    return canRunAgain(route) && this.attempts.hasAttemptLeft() && places.find(service, call.size, avoided) !== undefined
  }

  /** Leaves the present path and goes on over another, if there is one: silence alone is no reason to end an answer. */
  private abandonPath (reason: string): void {
    if (!this.canMoveOn()) return
    this.record('path-left', { reason })
    this.attempt?.cancel()
    this.handleEnd({ end: this.writer.hasBegun() ? AttemptEnd.cut : AttemptEnd.unknown, mayHaveRun: true })
  }

  private createRescue (): StreamRescue {
    return new StreamRescue(this.context, {
      id: this.routed.call.id,
      service: this.routed.service,
      getPlacement: () => this.isOver ? undefined : this.attempt?.getPlacement(),
      getProgressMs: () => this.progressMs,
      changeParts: (parts) => { this.changeParts(parts) },
      abandonPath: (reason) => { this.abandonPath(reason) },
      record: (name, data) => { this.record(name, { ...data, events: this.events }) }
    })
  }

  private changeParts (parts: PathPart[]): void {
    this.attempt?.changeParts(parts)
    this.progressMs = this.context.clock.now()
  }

  private sendToNext (): void {
    const { call, service } = this.routed
    const placement = this.context.placement.find(service, call.size, this.attempts.tried)
    if (placement !== undefined) {
      this.sendTo(placement)
      return
    }
    this.isPlaceMissing = !this.context.placement.hasAllLayers(service)
    this.waitForPlace()
  }

  private waitForPlace (): void {
    const { clock, waiting, directory } = this.context
    const nowMs = clock.now()
    const waitMs = waiting.estimateWait(this.rank)
    const latestMs = Math.min(this.deadlineMs, (this.events === 0 ? this.routed.arrivedMs : this.progressMs) + longestWaitMs)
    if (directory.findEngine(this.routed.service) === undefined || nowMs + waitMs >= latestMs) {
      this.finishWithout(`no place is free, and ${Math.round(waitMs)} ms of work wait`)
      return
    }
    this.untilMs = latestMs
    this.record('call-waits', { ahead: waiting.getLength(), expectedMs: Math.round(waitMs) })
    waiting.add(this)
  }

  private sendTo (placement: Placement): void {
    const { clock, waiting } = this.context
    if (placement.parts !== undefined) waiting.recordStart(this.team, this.cost)
    this.progressMs = clock.now()
    const start = {
      placement,
      remainingMs: Math.max(1, Math.floor(this.deadlineMs - clock.now())),
      ...(this.lastEventId === undefined ? {} : { lastEventId: this.lastEventId })
    }
    this.attempt = new CallAttempt(this.context, this.routed, this.writer, start, {
      handleEvents: (count, lastId) => { this.noteEvents(count, lastId) },
      handleWhole: (finish) => { this.complete(finish) },
      handleEnd: (result) => { this.handleEnd(result) },
      record: (name, data) => { this.record(name, { ...data, events: this.events }) }
    })
  }

  private noteEvents (count: number, lastId: string | undefined): void {
    const { clock, metrics } = this.context
    const nowMs = clock.now()
    if (this.events === 0) metrics.observe('first_event_ms', nowMs - this.routed.arrivedMs)
    else this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.progressMs)
    this.events += count
    this.progressMs = nowMs
    this.rescue?.noteProgress()
    if (lastId !== undefined) this.lastEventId = lastId
  }

  private handleEnd ({ end, mayHaveRun, failure }: AttemptResult): void {
    if (this.attempt !== undefined) this.attempts.tried.add(this.attempt.getPlacement().endpoint.id)
    this.attempt = undefined
    if (failure !== undefined) this.attempts.failure = failure
    const step = this.attempts.recordEnd(end, mayHaveRun, this.deadlineMs - this.context.clock.now())
    if (step === NextStep.repeat) this.sendToNext()
    else this.finish(step, `the last attempt ended as ${end}`)
  }

  private finishWithout (reason: string): void {
    this.finish(this.attempts.chooseFinalStep(this.writer.hasBegun()), reason)
  }

  private finish (step: FinalStep, reason: string): void {
    if (step === NextStep.cutOff || this.writer.hasBegun()) {
      this.complete(() => { this.writer.cutOff() }, 'cut')
      return
    }
    const { failure } = this.attempts
    if (step === NextStep.passOn && failure !== undefined) {
      const { head, body } = failure
      this.complete(() => { this.writer.sendWhole(head, body) }, 'failed')
      return
    }
    this.answerError(step === NextStep.refuse ? ErrorKind.noCapacity : ErrorKind.outcomeUnknown, reason)
  }

  private answerError (kind: ErrorKind, reason: string): void {
    const { protocol } = this.context
    const { call } = this.routed
    const state = {
      remainingMs: this.deadlineMs - this.context.clock.now(),
      isMissing: this.isPlaceMissing,
      waitMs: this.context.waiting.estimateWait(this.rank)
    }
    const answer = protocol.createAnswer(call, createError(kind, reason), computeReturnTime(state, this.context.random))
    this.complete(() => { this.writer.sendOwn(answer, false) }, kind)
  }

  private endAtDeadline (): void {
    if (this.isOver) return
    const wasSent = this.attempts.hasMaybeRun || this.attempt !== undefined
    this.attempt?.cancel()
    this.attempt = undefined
    const step = this.attempts.chooseFinalStep(this.writer.hasBegun())
    if (step === NextStep.cutOff || step === NextStep.passOn) this.finish(step, 'the time is over')
    else this.answerError(wasSent ? ErrorKind.deadline : ErrorKind.noCapacity, 'the time is over')
  }

  private abandon (): void {
    if (this.isOver) return
    this.complete(() => {}, 'caller-left')
  }

  private complete (send: () => void, outcome = 'answered'): void {
    if (this.isOver) return
    this.isOver = true
    this.deadline?.cancel()
    if (outcome === 'answered') this.attempt?.complete()
    else this.attempt?.cancel()
    this.attempt = undefined
    this.record('call-ended', { outcome, runs: this.attempts.runs, refusals: this.attempts.refusals, events: this.events, longestPauseMs: Math.round(this.longestPauseMs) })
    this.context.metrics.count(`calls_total{outcome="${outcome}"}`)
    send()
    this.context.release(this)
  }

  private record (name: string, data: Record<string, string | number | boolean>): void {
    const { call, team } = this.routed
    const tookMs = Math.round(this.context.clock.now() - this.routed.arrivedMs)
    this.context.journal.record({
      name, request: call.id, ...(team === undefined ? {} : { team }), data: { ...data, route: this.routed.route.name, tookMs }
    })
  }
}
