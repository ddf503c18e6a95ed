/**
 * What a pipeline run needs from its surroundings, and what it is given.
 */
import type { Frame, Token } from './frames.js'
import type { StageEndpoint } from './model-graph.js'

/** Sends frames to sidecars. A lost endpoint is reported by `handleLost`. */
export abstract class StagePort {
  abstract send (endpoint: StageEndpoint, frame: Frame): void
}

/** Chooses endpoints for one run. */
export abstract class StageSource {
  /** @returns a pipeline without the excluded endpoints, or `undefined` */
  abstract pick (excluded: ReadonlySet<string>): StageEndpoint[] | undefined
  /** @returns an endpoint in place of another, or `undefined` */
  abstract pickReplacement (replaced: StageEndpoint, excluded: ReadonlySet<string>): StageEndpoint | undefined
}

/** Receives the answer. */
export abstract class RunListener {
  /** Called for each token, in order, each once. */
  abstract handleToken (token: Token): void
  /** Called once, after the last token. */
  abstract handleDone (): void
  /** Called once, instead of `handleDone`. */
  abstract handleFailed (error: Error): void
  /** Called when a stage is replaced. */
  abstract handleReplaced (lost: string[], cause: string): void
  /** Called when an endpoint failed while it was running this request. */
  abstract handleCrash (endpoint: string): void
}

/** Time limits and bounds of a run. */
export interface RunOptions {
  /** How long a stage may take to answer an open or reroute, in milliseconds. */
  openTimeoutMs: number
  /** How long the pipeline may be silent before its stages are probed, in milliseconds. */
  stallMs: number
  /** How long a stage may take to answer a probe, in milliseconds. */
  probeTimeoutMs: number
  /** How many times stages may be replaced without a token or a pause in between. */
  maxReplacements: number
  /** How long a run pauses after that, before it begins anew, in milliseconds. */
  restartPauseMs: number
  /** How long a run that loses stages may go on without a token, in milliseconds. */
  maxSilenceMs: number
  /** How many endpoints a request may crash before it is given up. */
  maxCrashes: number
}

/** What is to be run. */
export interface RunRequest {
  request: string
  team: string
  model: string
  prompt: string
  fingerprint: string
  /** Whether the same request was running when an engine crashed. */
  isSuspect: boolean
  maxTokens: number
  /** Time after which the answer is of no use, in milliseconds from now; 0 for no limit. */
  deadlineMs: number
}
