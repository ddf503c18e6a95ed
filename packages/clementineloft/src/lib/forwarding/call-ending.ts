/**
 * The end of one call: chooses its final answer by what is known of its attempts, and sends exactly one.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { NextStep } from '@clementineloft/routing'
import type { AnswerWriter } from '../callers/answer-writer.js'
import type { AdmittedCall } from './admitted-call.js'
import type { AttemptHistory, FinalStep } from './attempt-history.js'
import type { CrashEvidence } from './crash-evidence.js'
import type { ForwardingContext } from './forwarding-context.js'
import { RefusalReason } from './refusal-reason.js'

/** What the end of a call needs to know of the call. */
export interface EndingCall {
  /** Deadline of the call, in milliseconds of the clock. */
  readonly deadlineMs: number
  /** @returns delay after which the caller of a refused call should retry, in milliseconds */
  bookRetry: () => number
  /** Ends the current attempt and records the outcome. Called once, before the answer is sent. */
  settle: (outcome: string) => void
  /** Releases the call, after its answer was sent. */
  release: () => void
}

/** Ends one call. */
export class CallEnding {
  private isEnded = false

  constructor (
    private readonly context: ForwardingContext,
    private readonly admittedCall: AdmittedCall,
    private readonly writer: AnswerWriter,
    private readonly history: AttemptHistory,
    private readonly evidence: CrashEvidence,
    private readonly endingCall: EndingCall
  ) {}

  /** @returns whether the call has ended */
  hasEnded (): boolean {
    return this.isEnded
  }

  /** Ends a call for which there is no placement any more. */
  finishUnplaced (refusal: RefusalReason, reason: string): void {
    this.finish(this.history.chooseFinalStep(this.writer.hasBegun()), reason, refusal)
  }

  /** Ends a call whose content has crashed several endpoints. */
  finishQuarantined (): void {
    const reason = 'calls with the same content or prompt part have crashed several endpoints; change it before a retry'
    const step = this.history.chooseFinalStep(this.writer.hasBegun())
    if (step === NextStep.refuse) this.sendError(ErrorKind.quarantined, reason, RefusalReason.quarantined)
    else this.finish(step, reason)
  }

  /** Ends the call with the given step. */
  finish (step: FinalStep, reason: string, refusal: RefusalReason = RefusalReason.attemptsEnded): void {
    if (step === NextStep.cutOff || this.writer.hasBegun()) {
      this.complete(() => { this.writer.cutOff() }, 'cut')
      return
    }
    const { failure } = this.history
    if (step === NextStep.passOn && failure !== undefined) {
      const { head, body } = failure
      this.complete(() => { this.writer.sendWhole(head, body) }, 'failed')
      return
    }
    if (step === NextStep.refuse) this.sendError(ErrorKind.noCapacity, reason, refusal)
    else this.sendError(ErrorKind.outcomeUnknown, reason)
  }

  /**
   * Ends the call at its deadline.
   *
   * @param wasSent - whether an endpoint may have run the call
   */
  finishAtDeadline (wasSent: boolean): void {
    const step = this.history.chooseFinalStep(this.writer.hasBegun())
    if (step === NextStep.cutOff || step === NextStep.passOn) this.finish(step, 'the deadline has passed')
    else if (wasSent) this.sendError(ErrorKind.deadline, 'the deadline has passed')
    else this.sendError(ErrorKind.noCapacity, 'the deadline has passed', RefusalReason.deadline)
  }

  /** Ends the call once: records the outcome, sends the answer and releases the call. */
  complete (send: () => void, outcome = 'answered'): void {
    if (this.isEnded) return
    this.isEnded = true
    this.endingCall.settle(outcome)
    this.context.metrics.count(`calls_total{outcome="${outcome}"}`)
    send()
    this.endingCall.release()
  }

  private sendError (kind: ErrorKind, reason: string, refusal?: RefusalReason): void {
    if (this.isEnded) return
    const { context: { metrics, protocol }, admittedCall: { call, service } } = this
    if (refusal !== undefined) metrics.count(`call_refusals_total{service="${service}",reason="${refusal}"}`)
    const answer = protocol.createAnswer(call, createError(kind, reason), this.computeRetryAfter(refusal))
    this.complete(() => { this.writer.sendLocalAnswer(answer, false) }, kind)
  }

  private computeRetryAfter (refusal: RefusalReason | undefined): number | undefined {
    if (refusal === undefined) return undefined
    return refusal === RefusalReason.quarantined ? this.evidence.computeRefusalMs() : this.endingCall.bookRetry()
  }
}
