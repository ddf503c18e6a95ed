/**
 * Decides what follows an attempt that did not give the caller a complete answer.
 *
 * Answers the load pattern of endpoints that fail in the middle of work: a call is sent again only where that cannot
 * make it run twice, while time, attempts and the retry budget allow it; otherwise the caller is told what is known.
 */
import { Repeatability } from './call-terms.js'
import type { CallRoute } from './call-terms.js'

/** How an attempt ended. */
export const AttemptEnd = {
  /** Evidence shows that it did not run. */
  notRun: 'not-run',
  /** It may have run; no answer came. */
  unknown: 'unknown',
  /** The endpoint answered with a failure of its own. */
  failed: 'failed',
  /** Part of the answer has reached the caller. */
  cut: 'cut'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** What to do next. */
export const NextStep = {
  /** Send it to another endpoint. */
  repeat: 'repeat',
  /** Tell the caller that it did not run. */
  refuse: 'refuse',
  /** Pass on the endpoint's own failure. */
  passOn: 'pass-on',
  /** Tell the caller that the outcome is unknown. */
  reportUnknown: 'report-unknown',
  /** End the answer so that it does not look complete. */
  cutOff: 'cut-off'
} as const
export type NextStep = typeof NextStep[keyof typeof NextStep]

/** What the decision rests on. */
export interface AttemptState {
  route: CallRoute
  end: AttemptEnd
  /** Endpoints at which the call has run or may have run, and which are not known to have ended. */
  runs: number
  /** Times that the call was sent and did not run. */
  refusals: number
  /** Whether any attempt may have run. */
  hasMaybeRun: boolean
  remainingMs: number
  /** Takes one repeat from the budget. */
  takeBudget: () => boolean
}

/** Least time in which a repeat can still be answered, in milliseconds. */
const shortestRepeatMs = 20
/** Most times that a call is offered without running; each is one message. */
const maxRefusals = 4

/** @returns whether running the call once more does no harm */
export const canRunAgain = (route: CallRoute): boolean =>
  route.repeatability === Repeatability.idempotent || (route.isStream && route.isResumable)

const canRepeat = (state: AttemptState): boolean => {
  if (state.remainingMs < shortestRepeatMs) return false
  if (state.hasMaybeRun && !canRunAgain(state.route)) return false
  if (state.runs >= state.route.maxAttempts || state.refusals >= maxRefusals) return false
  return state.takeBudget()
}

/** @returns what follows the attempt */
export const chooseNextStep = (state: AttemptState): NextStep => {
  if (canRepeat(state)) return NextStep.repeat
  if (state.end === AttemptEnd.cut) return NextStep.cutOff
  if (state.end === AttemptEnd.failed) return NextStep.passOn
  return state.hasMaybeRun ? NextStep.reportUnknown : NextStep.refuse
}
