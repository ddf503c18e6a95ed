/**
 * Interface to the model engine that runs next to a sidecar.
 */
import type { StageOutput } from './stage-session.js'

/** Inputs for consecutive positions, which an engine runs through its layers. */
export interface EngineStep {
  /** Identifier of the engine's key-value cache for this request. */
  session: string
  model: string
  firstLayer: number
  /** Last layer, included. */
  lastLayer: number
  /** Whether the engine decodes the output of its last layer into a token. */
  isLastStage: boolean
  position: number
  rows: Uint8Array[]
}

/** A client of a model engine. It combines concurrent steps into a batch. */
export abstract class ModelEngine {
  /**
   * Encodes text into tokens.
   *
   * @returns one row for each token
   */
  abstract encode (model: string, text: string): Promise<Uint8Array[]>

  /**
   * Runs a step.
   *
   * @returns one output for each row
   * @throws `endpoint-failed`, with outcome `not-run` if the engine could not be reached and `unknown` if it crashed;
   *   `bad-request` if it refused the step
   */
  abstract runStep (step: EngineStep): Promise<StageOutput[]>

  /**
   * Checks that the engine answers.
   *
   * @throws `endpoint-failed` if it does not
   */
  abstract check (): Promise<void>

  /** Deletes the engine's cache of a session; errors are ignored. */
  abstract endSession (session: string): void
}
