/**
 * One call on its way: sends it to a place, relays the answer, and tries again elsewhere where the rule allows it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { Timer } from '@clementineloft/kernel'
import { AttemptEnd, canRunAgain, computeReturnTime, Evidence, NextStep, Repeatability } from '@clementineloft/routing'
import type { CallRoute, PathPart, WaitingCall } from '@clementineloft/routing'
import { AnswerRelay } from './answer-relay.js'
import type { RelayListener } from './answer-relay.js'
import { AnswerWriter } from '../callers/answer-writer.js'
import { AttemptHistory } from './attempt-history.js'
import type { FinalStep } from './attempt-history.js'
import type { AnswerHead, Delivery, ForwardedCall } from './call-protocol.js'
import type { Placement } from './call-placement.js'
import type { EndpointExchange } from './endpoint-exchange.js'
import type { ForwardingContext } from './forwarding-context.js'
import { StreamRescue } from './stream-rescue.js'

/** Longest time to set up a connection to an endpoint, in milliseconds; some hundred round trips. */
const connectTimeoutMs = 400

/** Longest time that a call waits for a place, in milliseconds; callers of streams leave after two seconds of silence. */
const longestWaitMs = 1500

/** @returns the path of a call for a log line */
const describePath = ({ endpoint, parts }: Placement): string =>
  parts?.map((part) => `${part.endpoint.address}=${part.from}-${part.to}`).join(' ') ?? endpoint.address

/** A call whose route and team are known. */
export interface AdmittedCall {
  call: ForwardedCall
  route: CallRoute
  service: string
  team?: string
  /** Rank of the call's terms; 0 is the most urgent. */
  rank: number
  body: Buffer
  /** When the caller's request arrived, in milliseconds of the clock. */
  arrivedMs: number
}

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
  private placement: Placement | undefined
  private exchange: EndpointExchange | undefined
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
    if (this.placement !== undefined) avoided.add(this.placement.endpoint.id)
    return canRunAgain(route) && this.attempts.hasAttemptLeft() && places.find(service, call.size, avoided) !== undefined
  }

  /** Leaves the present path and goes on over another, if there is one: silence alone is no reason to end an answer. */
  private abandonPath (reason: string): void {
    if (!this.canMoveOn()) return
    this.record('path-left', { reason })
    this.endAttempt(this.writer.hasBegun() ? AttemptEnd.cut : AttemptEnd.unknown, true)
  }

  private createRescue (): StreamRescue {
    return new StreamRescue(this.context, {
      id: this.routed.call.id,
      service: this.routed.service,
      getPlacement: () => this.isOver ? undefined : this.placement,
      getProgressMs: () => this.progressMs,
      changeParts: (parts) => { this.changeParts(parts) },
      abandonPath: (reason) => { this.abandonPath(reason) },
      record: (name, data) => { this.record(name, { ...data, events: this.events }) }
    })
  }

  private changeParts (parts: PathPart[]): void {
    const { placement: places, clock } = this.context
    const before = this.placement as Placement
    places.recordEnd(before)
    this.placement = { ...before, parts }
    places.recordStart(this.placement)
    this.progressMs = clock.now()
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
    const { call, route, team, body } = this.routed
    const { clock, placement: places, waiting } = this.context
    this.placement = placement
    if (placement.parts !== undefined) waiting.recordStart(this.team, this.cost)
    places.recordStart(placement)
    this.progressMs = clock.now()
    const delivery: Delivery = {
      endpointId: placement.endpoint.id,
      remainingMs: Math.max(1, Math.floor(this.deadlineMs - clock.now())),
      bodyBytes: body.byteLength,
      ...(team === undefined ? {} : { team }),
      ...(placement.parts === undefined ? {} : { parts: placement.parts }),
      ...(this.lastEventId === undefined ? {} : { lastEventId: this.lastEventId })
    }
    this.record('call-sent', { endpoint: placement.endpoint.address, remainingMs: delivery.remainingMs, path: describePath(placement) })
    this.exchange = this.context.exchanges.open({
      method: call.method,
      target: call.target,
      address: placement.endpoint.address,
      headers: this.context.protocol.createHeaders(call, delivery),
      body,
      needsFreshConnection: route.repeatability === Repeatability.atMostOnce && !route.isResumable,
      connectTimeoutMs
    }, {
      handleHead: (response) => { this.handleHead(response) },
      handleFailure: (wasSent, reason) => { this.handleLost(wasSent, reason) }
    })
  }

  private handleLost (wasSent: boolean, reason: string): void {
    if (this.isOver || this.placement === undefined) return
    this.noteFailure(this.placement.endpoint.id, Evidence.lost)
    this.record('endpoint-lost', { endpoint: this.placement.endpoint.address, wasSent, reason })
    this.endAttempt(wasSent ? AttemptEnd.unknown : AttemptEnd.notRun, wasSent)
  }

  private handleHead (response: IncomingMessage): void {
    if (this.isOver || this.placement === undefined) {
      response.destroy()
      return
    }
    const head = this.context.protocol.readHead(this.routed.call, response)
    const { id } = this.placement.endpoint
    if (head.load !== undefined) {
      const { running, waiting } = head.load
      this.context.directory.loads.recordReport(id, running + waiting)
    }
    if (!head.isOwn) {
      response.destroy()
      this.record('answer-crossed', { endpoint: this.placement.endpoint.address })
      this.endAttempt(AttemptEnd.unknown, true)
      return
    }
    if (head.isNotRun) {
      response.resume()
      this.handleNotRun(head)
      return
    }
    if (head.status >= 200 && head.status < 300) this.forward(head, response)
    else this.readFailure(head, response)
  }

  private handleNotRun (head: AnswerHead): void {
    const { endpoint } = this.placement as Placement
    const fault = head.faultAddress === undefined ? endpoint : this.context.directory.findByAddress(head.faultAddress)
    if (fault !== undefined) this.noteFailure(fault.id, head.isOtherEndpoint ? Evidence.lost : Evidence.refused)
    this.record('call-not-run', { endpoint: endpoint.address, status: head.status, fault: head.faultAddress ?? '' })
    this.endAttempt(AttemptEnd.notRun, false)
  }

  private readFailure (head: AnswerHead, response: IncomingMessage): void {
    const { endpoint } = this.placement as Placement
    this.createRelay(head, response).readBody((body) => {
      this.noteFailure(endpoint.id, Evidence.failed)
      this.attempts.failure = { head, body }
      this.record('endpoint-failed', { endpoint: endpoint.address, status: head.status })
      this.endAttempt(this.writer.hasBegun() ? AttemptEnd.cut : AttemptEnd.failed, true)
    }, () => { this.endAttempt(this.writer.hasBegun() ? AttemptEnd.cut : AttemptEnd.unknown, true) })
  }

  private forward (head: AnswerHead, response: IncomingMessage): void {
    const relay = this.createRelay(head, response)
    const listener: RelayListener = {
      handleEvents: (count, lastId) => { this.noteEvents(count, lastId) },
      handleWhole: () => { this.complete(() => { relay.finish() }) },
      handleCut: (reason) => { this.handleCut(reason) }
    }
    if (this.routed.route.isStream) relay.forwardEvents(listener)
    else relay.forwardBody(listener)
  }

  private createRelay (head: AnswerHead, response: IncomingMessage): AnswerRelay {
    const { exchange } = this
    return new AnswerRelay(head, response, exchange, this.writer, () => this.exchange === exchange && !this.isOver)
  }

  private noteEvents (count: number, lastId: string | undefined): void {
    const { clock, metrics, directory } = this.context
    const nowMs = clock.now()
    if (this.events === 0) metrics.observe('first_event_ms', nowMs - this.routed.arrivedMs)
    else this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.progressMs)
    this.events += count
    this.progressMs = nowMs
    this.rescue?.noteProgress()
    if (lastId !== undefined) this.lastEventId = lastId
    if (this.placement?.parts !== undefined) directory.progress.record(this.placement.parts)
  }

  private handleCut (reason: string): void {
    const { endpoint } = this.placement as Placement
    this.record('answer-cut', { endpoint: endpoint.address, events: this.events, reason })
    this.endAttempt(this.writer.hasBegun() ? AttemptEnd.cut : AttemptEnd.unknown, true)
  }

  private noteFailure (endpoint: string, evidence: Evidence): void {
    this.context.directory.health.recordFailure(endpoint, evidence)
  }

  private releasePlace (): void {
    if (this.placement === undefined) return
    this.context.placement.recordEnd(this.placement)
    this.attempts.tried.add(this.placement.endpoint.id)
    this.placement = undefined
    this.exchange?.cancel()
    this.exchange = undefined
  }

  private endAttempt (end: AttemptEnd, mayHaveRun: boolean): void {
    this.releasePlace()
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
    const wasSent = this.attempts.hasMaybeRun || this.exchange !== undefined
    this.releasePlace()
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
    if (this.placement !== undefined && outcome === 'answered') {
      this.context.directory.health.recordSuccess(this.placement.endpoint.id)
    }
    this.record('call-ended', { outcome, runs: this.attempts.runs, refusals: this.attempts.refusals, events: this.events, longestPauseMs: Math.round(this.longestPauseMs) })
    this.context.metrics.count(`calls_total{outcome="${outcome}"}`)
    if (this.placement !== undefined) {
      this.context.placement.recordEnd(this.placement)
      // A connection whose answer is whole is kept.
      if (outcome !== 'answered') this.exchange?.cancel()
    }
    this.placement = undefined
    this.exchange = undefined
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
