/**
 * The model engine beside a sidecar, as the decisions see it.
 */
import type { StageOutput } from './stage-session.js'

/** Inputs of consecutive positions that an engine runs through its layers. */
export interface EngineStep {
  /** Identity of the engine's cache for this request. */
  session: string
  model: string
  firstLayer: number
  /** Last layer, included. */
  lastLayer: number
  /** Whether the engine turns the last layer's output into a token. */
  isLastStage: boolean
  position: number
  rows: Uint8Array[]
}

/** A client of a model engine. It batches the steps that it is given together. */
export abstract class ModelEngine {
  /**
   * Turns text into tokens.
   *
   * @returns one row for each token
   */
  abstract encode (model: string, text: string): Promise<Uint8Array[]>

  /**
   * Runs a step.
   *
   * @returns one output for each row
   * @throws `endpoint-failed`, with outcome `not-run` if the engine could not be reached and `unknown` if it died;
   *   `bad-request` if it refused the step
   */
  abstract runStep (step: EngineStep): Promise<StageOutput[]>

  /**
   * Checks that the engine answers.
   *
   * @throws `endpoint-failed` if it does not
   */
  abstract check (): Promise<void>

  /** Drops the cache of a session; errors are ignored. */
  abstract endSession (session: string): void
}
