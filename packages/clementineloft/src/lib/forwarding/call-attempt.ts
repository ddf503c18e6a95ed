/**
 * One attempt to run a call at one placement: sends the call, relays the answer as it arrives, and reports how the
 * attempt ended, including whether the call may have run.
 */
import type { IncomingMessage } from 'node:http'
import { AttemptEnd, FailureEvidence, Repeatability } from '@clementineloft/routing'
import type { CallEndpoint, PathPart } from '@clementineloft/routing'
import type { AnswerWriter } from '../callers/answer-writer.js'
import type { AdmittedCall } from './admitted-call.js'
import { AnswerRelay } from './answer-relay.js'
import { AnswerKind, classifyAnswer } from './answer-verdict.js'
import type { AttemptListener, AttemptResult, AttemptStart } from './attempt-listener.js'
import type { AnswerHead, Delivery } from './call-protocol.js'
import type { Placement } from './call-placement.js'
import type { CrashEvidence } from './crash-evidence.js'
import type { EndpointExchange } from './endpoint-exchange.js'
import type { ForwardingContext } from './forwarding-context.js'

/** Timeout for setting up a connection to an endpoint, in milliseconds: some hundred round trips. */
const connectTimeoutMs = 400

/** Timeout for the body of an error answer, in milliseconds; a body that ends late or never holds up the call no longer. */
const failureBodyTimeoutMs = 500

/** Maximum number of prompt parts in a line of the journal. */
const maxRecordedParts = 8

/** How far the answer of an attempt has come. */
const AnswerProgress = {
  none: 'none',
  /** The endpoint has begun to answer, and no event is complete. */
  head: 'head',
  events: 'events'
} as const
type AnswerProgress = typeof AnswerProgress[keyof typeof AnswerProgress]

/** @returns the path of a call as text for the journal */
const describePath = ({ endpoint, parts }: Placement): string =>
  parts?.map((part) => `${part.endpoint.address}=${part.from}-${part.to}`).join(' ') ?? endpoint.address

/** One attempt. The constructor sends the call. */
export class CallAttempt {
  private currentPlacement: Placement
  private readonly exchange: EndpointExchange
  private isFinished = false
  private progress: AnswerProgress = AnswerProgress.none
  /** When the call was sent, in milliseconds of the clock. */
  private readonly sentMs: number
  private readonly evidence: CrashEvidence

  constructor (
    private readonly context: ForwardingContext,
    private readonly admittedCall: AdmittedCall,
    private readonly writer: AnswerWriter,
    start: AttemptStart,
    private readonly listener: AttemptListener
  ) {
    this.currentPlacement = start.placement
    this.sentMs = context.clock.now()
    this.evidence = start.evidence
    context.placement.recordStart(start.placement)
    this.exchange = this.open(start)
  }

  /** @returns the placement on which the call currently runs */
  getPlacement (): Placement {
    return this.currentPlacement
  }

  /** Moves the accounting to other parts, after the first endpoint has accepted the change of path. */
  changeParts (parts: PathPart[]): void {
    const { placement } = this.context
    this.recordDeparture()
    placement.recordEnd(this.currentPlacement)
    this.currentPlacement = { ...this.currentPlacement, parts }
    placement.recordStart(this.currentPlacement)
  }

  /** @returns whether the endpoint with this id has sent the head of the stream, and no event yet */
  isBeginningAt (endpointId: string): boolean {
    const { route } = this.admittedCall
    return route.isStream && this.progress === AnswerProgress.head && this.currentPlacement.endpoint.id === endpointId
  }

  /** Records that an endpoint does not answer its sidecar any more. Concerns the call if it is a part of its path. */
  recordSilence (endpoint: CallEndpoint): void {
    const isPart = this.currentPlacement.parts?.some((part) => part.endpoint.id === endpoint.id) === true
    if (isPart) void this.evidence.recordLoss(endpoint, this.sentMs, false)
  }

  /** Releases the placement and closes the connection, so that the endpoint stops working on the call. */
  cancel (): void {
    if (this.isFinished) return
    this.isFinished = true
    this.recordDeparture()
    this.context.placement.recordEnd(this.currentPlacement)
    this.exchange.cancel()
  }

  /** Releases the placement after a complete answer and records the success. The connection stays open for reuse. */
  complete (): void {
    if (this.isFinished) return
    this.isFinished = true
    this.context.placement.recordEnd(this.currentPlacement)
    this.context.directory.health.recordSuccess(this.currentPlacement.endpoint.id)
    this.evidence.recordAnswer()
  }

  /** Records that the call leaves the endpoints of its path; plain services show a crash at once. */
  private recordDeparture (): void {
    const { parts } = this.currentPlacement
    if (parts !== undefined) this.evidence.recordDeparture(parts.map((part) => part.endpoint), this.sentMs)
  }

  private open ({ placement, remainingMs, lastEventId }: AttemptStart): EndpointExchange {
    const { call, route, team, body } = this.admittedCall
    const { endpoint, parts } = placement
    const delivery: Delivery = {
      endpointId: endpoint.id,
      remainingMs,
      bodyBytes: body.byteLength,
      ...(team === undefined ? {} : { team }),
      ...(parts === undefined ? {} : { parts }),
      ...(lastEventId === undefined ? {} : { lastEventId })
    }
    this.listener.record('call-sent', { endpoint: endpoint.address, remainingMs, path: describePath(placement) })
    return this.context.exchanges.open({
      method: call.method,
      target: call.target,
      address: endpoint.address,
      headers: this.context.protocol.createHeaders(call, delivery),
      body,
      needsFreshConnection: route.repeatability === Repeatability.atMostOnce && !route.isResumable,
      connectTimeoutMs
    }, {
      handleHead: (response) => { this.handleHead(response) },
      handleFailure: (wasSent, reason, isLocal) => { this.handleConnectionFailure(wasSent, reason, isLocal) }
    })
  }

  private handleConnectionFailure (wasSent: boolean, reason: string, isLocal: boolean): void {
    if (this.isFinished) return
    const { endpoint } = this.currentPlacement
    if (!isLocal) this.recordFailure(endpoint.id, FailureEvidence.lost)
    if (wasSent) void this.evidence.recordLoss(endpoint, this.sentMs, false)
    this.recordLostEndpoint('endpoint-lost', reason, wasSent)
    this.end({ end: wasSent ? AttemptEnd.unknown : AttemptEnd.notRun, mayHaveRun: wasSent })
  }

  private handleHead (response: IncomingMessage): void {
    if (this.isFinished) {
      response.destroy()
      return
    }
    const head = this.context.protocol.readHead(this.admittedCall.call, response)
    const { kind, fault = '' } = classifyAnswer(head, this.writer.hasBegun())
    if (kind === AnswerKind.malformed) {
      this.handleMalformedHead(fault)
      return
    }
    const { endpoint } = this.currentPlacement
    if (head.load !== undefined) this.context.directory.loads.recordReport(endpoint.id, head.load.running + head.load.waiting)
    if (kind === AnswerKind.crossed) {
      response.destroy()
      this.listener.record('answer-crossed', { endpoint: endpoint.address })
      this.end({ end: AttemptEnd.unknown, mayHaveRun: true })
      return
    }
    if (head.isLeaving && !head.isFromOtherEndpoint) this.context.recordLeaving(endpoint)
    if (kind === AnswerKind.notRun) {
      response.resume()
      this.handleNotRun(head)
    } else if (kind === AnswerKind.success) this.forward(head, response)
    else this.readFailure(head, response)
  }

  /** Nothing in a malformed head is evidence, not even that the call did not run. */
  private handleMalformedHead (reason: string): void {
    const { endpoint } = this.currentPlacement
    this.recordFailure(endpoint.id, FailureEvidence.failed)
    this.context.metrics.count('answers_malformed_total')
    this.listener.record('answer-malformed', { endpoint: endpoint.address, reason })
    this.end({ end: this.resolveEnd(AttemptEnd.unknown), mayHaveRun: true })
  }

  private handleNotRun (head: AnswerHead): void {
    const { endpoint } = this.currentPlacement
    const failedEndpoint = head.failedAddress === undefined ? endpoint : this.context.directory.findByAddress(head.failedAddress)
    if (failedEndpoint !== undefined) this.recordFailure(failedEndpoint.id, head.isFromOtherEndpoint ? FailureEvidence.lost : FailureEvidence.refused)
    if (head.pauseMs !== undefined) this.context.directory.health.recordPause(endpoint.id, head.pauseMs)
    this.listener.record('call-not-run', { endpoint: endpoint.address, status: head.status, fault: head.failedAddress ?? '', pauseMs: head.pauseMs ?? 0 })
    this.end({ end: AttemptEnd.notRun, mayHaveRun: false })
  }

  private readFailure (head: AnswerHead, response: IncomingMessage): void {
    const { endpoint } = this.currentPlacement
    const endWithoutBody = (): void => { this.end({ end: this.resolveEnd(AttemptEnd.unknown), mayHaveRun: true }) }
    const timer = this.context.clock.schedule(failureBodyTimeoutMs, endWithoutBody)
    this.createRelay(head, response).readBody((body) => {
      timer.cancel()
      this.evidence.recordAnswer()
      this.recordFailure(endpoint.id, FailureEvidence.failed)
      this.listener.record('endpoint-failed', { endpoint: endpoint.address, status: head.status })
      this.end({ end: this.resolveEnd(AttemptEnd.failed), mayHaveRun: true, failure: { head, body } })
    }, () => {
      timer.cancel()
      endWithoutBody()
    })
  }

  private forward (head: AnswerHead, response: IncomingMessage): void {
    this.progress = AnswerProgress.head
    const relay = this.createRelay(head, response)
    const listener = {
      handleEvents: (count: number, lastId: string | undefined) => { this.recordEvents(count, lastId) },
      handleComplete: () => { this.listener.handleComplete(() => { relay.finish() }) },
      handleTruncated: (reason: string) => { this.handleTruncated(reason) },
      handleAbandoned: (reason: string) => {
        this.listener.record('answer-abandoned', { endpoint: this.currentPlacement.endpoint.address, reason })
        this.end({ end: this.resolveEnd(AttemptEnd.unknown), mayHaveRun: true })
      }
    }
    if (this.admittedCall.route.isStream) relay.forwardEvents(listener)
    else relay.forwardBody(listener)
  }

  private createRelay (head: AnswerHead, response: IncomingMessage): AnswerRelay {
    return new AnswerRelay(head, response, this.exchange, this.writer, () => !this.isFinished)
  }

  private recordEvents (count: number, lastId: string | undefined): void {
    const { parts } = this.currentPlacement
    this.evidence.recordEvents()
    this.progress = AnswerProgress.events
    if (parts !== undefined) this.context.directory.progress.record(parts)
    this.listener.handleEvents(count, lastId)
  }

  private handleTruncated (reason: string): void {
    this.recordLostEndpoint('answer-cut', reason, true)
    const isBeginning = this.isOnlyBeginning()
    const probed = this.evidence.recordLoss(this.currentPlacement.endpoint, this.sentMs, isBeginning)
    const end = (): void => { this.end({ end: this.resolveEnd(AttemptEnd.unknown), mayHaveRun: true }) }
    // A call that may just have crashed its endpoint goes to no other one before this is known.
    if (isBeginning) void probed.then(end)
    else end()
  }

  /** @returns whether the endpoint was beginning to answer this call, and no other call of this entry */
  private isOnlyBeginning (): boolean {
    const { id } = this.currentPlacement.endpoint
    const beginning = [...this.context.runs].filter((run) => run.isBeginningAt(id))
    return this.isBeginningAt(id) && beginning.length === 1
  }

  /** Records that the endpoint was lost, and which content it had at that time. */
  private recordLostEndpoint (name: string, reason: string, wasSent: boolean): void {
    const { progress } = this
    const { call, traits: [fingerprint = ''] } = this.admittedCall
    const { address } = this.currentPlacement.endpoint
    this.context.metrics.count(`attempts_lost_total{answer="${progress}"}`)
    const sharedParts = call.sharedParts?.slice(0, maxRecordedParts).join(' ') ?? ''
    this.listener.record(name, { endpoint: address, wasSent, reason, answer: progress, fingerprint, sharedParts })
  }

  /** @returns `AttemptEnd.cut` if the caller already has part of the answer, otherwise `end` */
  private resolveEnd (end: AttemptEnd): AttemptEnd {
    return this.writer.hasBegun() ? AttemptEnd.cut : end
  }

  private recordFailure (endpoint: string, evidence: FailureEvidence): void {
    this.context.directory.health.recordFailure(endpoint, evidence)
  }

  private end (result: AttemptResult): void {
    if (this.isFinished) return
    this.cancel()
    this.listener.handleEnd(result)
  }
}
