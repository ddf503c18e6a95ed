/**
 * What has become of the attempts of one call so far, as the rule on repeats needs it.
 */
import { chooseNextStep, NextStep } from '@clementineloft/routing'
import type { AttemptEnd, CallRoute, RetryWindow } from '@clementineloft/routing'
import type { AnswerHead } from './call-protocol.js'

/** An endpoint's answer that says that it failed. */
export interface EndpointFailure {
  head: AnswerHead
  body: Buffer
}

/** What follows when a call is not sent again. */
export type FinalStep = Exclude<NextStep, 'repeat'>

/** The attempts of one call. */
export class AttemptHistory {
  /** Endpoints at which the call was tried. */
  readonly triedEndpointIds = new Set<string>()
  runs = 0
  refusals = 0
  /** Whether any attempt may have run. */
  hasMaybeRun = false
  /** The latest answer of an endpoint that failed. */
  failure: EndpointFailure | undefined

  constructor (
    private readonly route: CallRoute,
    private readonly retryBudget: RetryWindow
  ) {}

  /** @returns whether the call may be sent once more, judged by attempts and budget alone */
  hasAttemptLeft (): boolean {
    return this.runs + 1 < this.route.maxAttempts && this.retryBudget.canTake()
  }

  /**
   * Notes the end of an attempt.
   *
   * @param mayHaveRun - whether the call may have run at the endpoint
   * @param remainingMs - time left for the call, in milliseconds
   * @returns what follows
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
   * @param hasBegun - whether the caller has part of an answer
   * @returns how the call ends if no further attempt can be made
   */
  chooseFinalStep (hasBegun: boolean): FinalStep {
    if (hasBegun) return NextStep.cutOff
    if (this.failure !== undefined) return NextStep.passOn
    return this.hasMaybeRun ? NextStep.reportUnknown : NextStep.refuse
  }
}
