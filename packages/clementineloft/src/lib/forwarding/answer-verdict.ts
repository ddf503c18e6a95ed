/**
 * Classifies the head of an endpoint's answer before anything of it is believed or passed on.
 */
import { findHeaderFault, isFinalStatus } from '../callers/message-text.js'
import type { AnswerHead } from './call-protocol.js'

/** What an answer is to the call that waits for it. */
export const AnswerKind = {
  /** It cannot be an answer to a caller, and is evidence of nothing, not even that the call did not run. */
  malformed: 'malformed',
  /** It belongs to another call. */
  crossed: 'crossed',
  /** The endpoint states that it did not run the call. */
  notRun: 'not-run',
  /** The endpoint ran the call, and its answer can be passed on. */
  success: 'success',
  /** The endpoint's own error. */
  failure: 'failure'
} as const
export type AnswerKind = typeof AnswerKind[keyof typeof AnswerKind]

/** Kind of an answer, and the fault if it is malformed. */
export interface AnswerVerdict {
  kind: AnswerKind
  fault?: string
}

/** @returns what keeps an answer from being an answer to a caller; `undefined` if nothing does */
const findFault = ({ status, headers }: AnswerHead): string | undefined =>
  isFinalStatus(status) ? findHeaderFault(headers) : `status ${status} is not that of a final answer`

/**
 * @param head - head of the answer
 * @param hasBegun - whether the caller already has part of an answer, which only a stream of events continues
 */
export const classifyAnswer = (head: AnswerHead, hasBegun: boolean): AnswerVerdict => {
  const fault = findFault(head)
  if (fault !== undefined) return { kind: AnswerKind.malformed, fault }
  if (!head.isForThisCall) return { kind: AnswerKind.crossed }
  if (head.isNotExecuted) return { kind: AnswerKind.notRun }
  const isSuccess = head.status >= 200 && head.status < 300
  if (isSuccess && !head.isSigned) return { kind: AnswerKind.malformed, fault: 'a success without the signature of its endpoint' }
  if (isSuccess && (head.isEventStream || !hasBegun)) return { kind: AnswerKind.success }
  return { kind: AnswerKind.failure }
}
