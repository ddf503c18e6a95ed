/**
 * Interface between an attempt to run a call and the call: the parameters of the attempt, its progress and its result.
 */
import type { AttemptEnd } from '@clementineloft/routing'
import type { EndpointFailure } from './attempt-history.js'
import type { CallEventData } from './call-journal.js'
import type { Placement } from './call-placement.js'
import type { CrashEvidence } from './crash-evidence.js'

/** Result of an attempt that ended without a complete answer. */
export interface AttemptResult {
  end: AttemptEnd
  /** Whether the call may have run at the endpoint. */
  mayHaveRun: boolean
  /** Error response of the endpoint, if it sent one. */
  failure?: EndpointFailure
}

/** Receives the progress of an attempt: any number of events, then exactly one end. Nothing follows a cancellation. */
export interface AttemptListener {
  /** Called for complete events about to be forwarded. `lastId` is that of the last event with an id, if any. */
  handleEvents: (count: number, lastId: string | undefined) => void
  /** Called when the answer is complete. `finish` sends its remainder to the caller. */
  handleComplete: (finish: () => void) => void
  /** Called when the attempt has ended without a complete answer and has released its placement. */
  handleEnd: (result: AttemptResult) => void
  /** Records an event of the call in the journal. */
  record: (name: string, data: CallEventData) => void
}

/** Parameters of one attempt. */
export interface AttemptStart {
  placement: Placement
  /** Time until the call's deadline, in milliseconds. */
  remainingMs: number
  /** Evidence on whether the call crashes its endpoints, over all its attempts. */
  evidence: CrashEvidence
  /** Id of the event after which a stream resumes. */
  lastEventId?: string
}
