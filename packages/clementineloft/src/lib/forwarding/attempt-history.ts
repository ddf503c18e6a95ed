/**
 * Results of the attempts of one call so far, as input of the retry rule.
 */
import { chooseNextStep, NextStep } from '@clementineloft/routing'
import type { AttemptEnd, CallRoute, RetryWindow } from '@clementineloft/routing'
import type { AnswerHead } from './call-protocol.js'

/** Error response of an endpoint. */
export interface EndpointFailure {
  head: AnswerHead
  body: Buffer
}

/** How a call ends when it is not retried. */
export type FinalStep = Exclude<NextStep, 'repeat'>

/** Counts the attempts of one call and decides what follows each of them. */
export class AttemptHistory {
  /** Ids of the endpoints to which the call was sent. */
  readonly triedEndpointIds = new Set<string>()
  runs = 0
  refusals = 0
  /** Whether any attempt may have run the call. */
  hasMaybeRun = false
  /** Latest error response of an endpoint. */
  failure: EndpointFailure | undefined

  constructor (
    private readonly route: CallRoute,
    private readonly retryBudget: RetryWindow
  ) {}

  /** @returns whether the attempt limit and the retry budget allow another attempt */
  hasAttemptLeft (): boolean {
    return this.runs + 1 < this.route.maxAttempts && this.retryBudget.canTake()
  }

  /**
   * Records the end of an attempt.
   *
   * @param mayHaveRun - whether the call may have run at the endpoint
   * @param remainingMs - time until the call's deadline, in milliseconds
   * @returns the next step: a retry, or how the call ends
   */
  recordEnd (end: AttemptEnd, mayHaveRun: boolean, remainingMs: number): NextStep {
    if (mayHaveRun) {
      this.runs++
      this.hasMaybeRun = true
    } else {
      this.refusals++
    }
    const { route, runs, refusals, hasMaybeRun } = this
    return chooseNextStep({ route, end, runs, refusals, hasMaybeRun, remainingMs, takeBudget: () => this.retryBudget.take() })
  }

  /**
   * @param hasBegun - whether the caller already has part of an answer
   * @returns how the call ends if no further attempt can be made
   */
  chooseFinalStep (hasBegun: boolean): FinalStep {
    if (hasBegun) return NextStep.cutOff
    if (this.failure !== undefined) return NextStep.passOn
    return this.hasMaybeRun ? NextStep.reportUnknown : NextStep.refuse
  }
}
