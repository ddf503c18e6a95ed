/**
 * Interfaces between a pipeline run and the process that hosts it, with the run's options and request.
 */
import type { Frame, Token } from './frames.js'
import type { StageEndpoint } from './model-graph.js'

/** Sends frames to sidecars. The host reports an unreachable endpoint through `PipelineRun.handleLost`. */
export abstract class StagePort {
  abstract send (endpoint: StageEndpoint, frame: Frame): void
}

/** Picks endpoints for one run. */
export abstract class StageSource {
  /** @returns endpoints in layer order, none of them excluded, or `undefined` if no pipeline is available */
  abstract pick (excluded: ReadonlySet<string>): StageEndpoint[] | undefined
  /** @returns an endpoint to take the place of another, not excluded, or `undefined` if none is available */
  abstract pickReplacement (replaced: StageEndpoint, excluded: ReadonlySet<string>): StageEndpoint | undefined
}

/** Receives the tokens, the result and the events of one run. */
export abstract class RunListener {
  /** Called exactly once for each token, in order. */
  abstract handleToken (token: Token): void
  /** Called once, after the last token. */
  abstract handleDone (): void
  /** Called once, instead of `handleDone`, when the run fails. */
  abstract handleFailed (error: Error): void
  /** Called when the run has lost stages, before it replaces them, restarts or fails. */
  abstract handleStagesLost (lost: string[], cause: string): void
  /** Called once for each endpoint that failed while it was running this request. */
  abstract handleCrash (endpoint: string): void
}

/** Timeouts and limits of a run. */
export interface RunOptions {
  /** Timeout for a stage's answer to an open or reroute, in milliseconds. */
  openTimeoutMs: number
  /** Time without tokens after which the stages are probed, in milliseconds. */
  stallMs: number
  /** Timeout for a stage's answer to a probe, and the interval between probes, in milliseconds. */
  probeTimeoutMs: number
  /** Maximum number of stage replacements without a token or a pause in between. */
  maxReplacements: number
  /** Pause before the run restarts after `maxReplacements` is exceeded, in milliseconds. */
  restartPauseMs: number
  /** Maximum time without a token before a run that keeps losing stages fails, in milliseconds. */
  maxSilenceMs: number
  /** Number of crashed endpoints at which the request fails as quarantined. */
  maxCrashes: number
}

/** The request that a run executes. */
export interface RunRequest {
  request: string
  team: string
  model: string
  prompt: string
  fingerprint: string
  /** Whether a request with the same fingerprint was running when an engine crashed. */
  isSuspect: boolean
  maxTokens: number
  /** Time after which the run fails, in milliseconds from its start; 0 for no limit. */
  deadlineMs: number
}
