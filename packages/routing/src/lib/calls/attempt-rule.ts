/**
 * Decides how a call continues after an attempt that did not give the caller a complete answer.
 *
 * Addresses endpoints that fail while they process a call: a call is retried only if a retry cannot make it run twice, and
 * only while the deadline, the maximum number of attempts and the retry budget permit. Otherwise the caller receives an
 * answer that states the known outcome.
 */
import { Repeatability } from './call-config.js'
import type { CallRoute } from './call-config.js'

/** How an attempt ended. */
export const AttemptEnd = {
  /** Evidence shows that the call did not run. */
  notRun: 'not-run',
  /** The call may have run, but no answer arrived. */
  unknown: 'unknown',
  /** The endpoint answered with an error of its own. */
  failed: 'failed',
  /** Part of the answer has reached the caller. */
  cut: 'cut'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** Next step for the call. */
export const NextStep = {
  /** Send the call to another endpoint. */
  repeat: 'repeat',
  /** Answer that the call did not run. */
  refuse: 'refuse',
  /** Forward the endpoint's own error. */
  passOn: 'pass-on',
  /** Answer that the outcome is unknown. */
  reportUnknown: 'report-unknown',
  /** Abort the answer so that the caller does not take it for complete. */
  cutOff: 'cut-off'
} as const
export type NextStep = typeof NextStep[keyof typeof NextStep]

/** Input of the decision. */
export interface AttemptState {
  route: CallRoute
  end: AttemptEnd
  /** Number of endpoints at which the call has run or may have run, including those that have ended since. */
  runs: number
  /** Number of times that the call was sent and did not run. */
  refusals: number
  /** Whether any attempt may have run. */
  hasMaybeRun: boolean
  remainingMs: number
  /** Takes one retry from the budget. @returns whether the budget had one left */
  takeBudget: () => boolean
}

/** Minimum remaining time in which a retry can still be answered, in milliseconds. */
const minRetryMs = 20
/** Maximum number of times that a call is sent without running; each costs one message. */
const maxRefusals = 4

/** @returns whether the call may safely run more than once */
export const canRunAgain = (route: CallRoute): boolean =>
  route.repeatability === Repeatability.idempotent || (route.isStream && route.isResumable)

const canRetry = (state: AttemptState): boolean => {
  if (state.remainingMs < minRetryMs) return false
  if (state.hasMaybeRun && !canRunAgain(state.route)) return false
  if (state.runs >= state.route.maxAttempts || state.refusals >= maxRefusals) return false
  return state.takeBudget()
}

/** @returns the next step after the attempt */
export const chooseNextStep = (state: AttemptState): NextStep => {
  if (canRetry(state)) return NextStep.repeat
  if (state.end === AttemptEnd.cut) return NextStep.cutOff
  if (state.end === AttemptEnd.failed) return NextStep.passOn
  return state.hasMaybeRun ? NextStep.reportUnknown : NextStep.refuse
}
