/**
 * A call in progress, as the shared context of an entry sees it. The context depends on these interfaces instead of on the
 * state machine of a call, which depends on the context.
 */
import type { CallEndpoint, StartResult, WaitingCall } from '@clementineloft/routing'

/** Failover of the stream of one call. */
export interface CallFailover {
  /** @returns whether the time since the last event exceeds the timeout that applies */
  isStalled: (nowMs: number) => boolean
  /** Reroutes a stalled stream around the suspected endpoints, or retries it over another path. */
  handleStall: () => void
  /** Reroutes the stream around an endpoint that no longer answers its sidecar. */
  handleSilentEndpoint: (endpoint: CallEndpoint) => void
  /** Reroutes the stream around a leaving endpoint. */
  handleLeavingEndpoint: (endpoint: CallEndpoint) => void
}

/** A call from its admission to the end of its answer. */
export interface RunningCall extends WaitingCall {
  readonly service: string
  /** `undefined` unless the route serves event streams. */
  readonly failover: CallFailover | undefined
  /** @returns whether the call is at an endpoint now */
  isSent: () => boolean
  /** @returns whether the caller has received the beginning of the answer */
  hasBegun: () => boolean
  /** Tries to start a queued call. It leaves the queue if it was placed. */
  startFromQueue: () => StartResult
  /** Ends a queued call whose maximum queue time has passed. */
  rejectExpired: () => void
  /** @returns whether the endpoint with this id has sent the head of the answer, and no event yet */
  isBeginningAt: (endpointId: string) => boolean
  /** Records that an endpoint does not answer its sidecar any more, which may be due to the call. */
  recordSilence: (endpoint: CallEndpoint) => void
  /** Ends the call if calls with its traits are refused now, unless an endpoint has survived its answer. */
  handleQuarantine: () => void
  /** Ends the call since the process stops: cuts off an answer that has begun, so that the caller can tell. */
  handleShutdown: () => void
}
