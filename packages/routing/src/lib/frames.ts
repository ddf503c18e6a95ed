/**
 * The messages that entries and sidecars exchange about one request on one pipeline.
 *
 * Exactly one field of a {@link Frame} is set. The types match those of the generated codec, so that frames are encoded
 * and decoded without conversion.
 */

/** The stage that receives the outputs of another one. */
export interface Hop {
  /** Name of the endpoint. */
  endpoint: string
  /** Address of its sidecar, `ip:port`. */
  address: string
}

/** Opens a request at a stage. No layer runs before the first {@link StepFrame}. */
export interface OpenFrame {
  request: string
  attempt: number
  stage: number
  team: string
  model: string
  firstLayer: number
  /** Last layer, included. */
  lastLayer: number
  /** The next stage; absent at the last stage, which sends its outputs to the entry as tokens. */
  next?: Hop | null
  /** Text to encode into tokens; empty at all stages but the first. */
  prompt: string
  /** Fingerprint of team and content, which stays the same when a caller sends a request again. */
  fingerprint: string
  /** Time left until the deadline of the request, in milliseconds; 0 for no deadline. */
  deadlineMs: number
  /** Whether outputs are held back until a {@link ForwardFrame} gives the position to send from. */
  isHeld: boolean
  /** Whether the request was running when an engine crashed and therefore runs alone. */
  isSuspect: boolean
}

/** Switches a stage that stays in the pipeline to a newer attempt, with its outputs held back. */
export interface RerouteFrame {
  request: string
  attempt: number
  next?: Hop | null
}

/** Makes a stage send its logged and future outputs from a position on. */
export interface ForwardFrame {
  request: string
  attempt: number
  from: number
}

/** Inputs of a stage for consecutive token positions. */
export interface StepFrame {
  request: string
  attempt: number
  stage: number
  /** Position of the first row. */
  position: number
  /** One row for each position: a token at the first stage, activations elsewhere. */
  rows: Uint8Array[]
}

/** Ends an attempt of a request at a stage, which then refuses this attempt and older ones. */
export interface CloseFrame {
  request: string
  attempt: number
}

/** Asks a stage for its {@link StatusFrame}. */
export interface ProbeFrame {
  request: string
  attempt: number
}

/** Progress of a stage. Sent in reply to open, reroute and probe frames. */
export interface StatusFrame {
  request: string
  attempt: number
  stage: number
  /** Next position that the stage accepts. */
  acceptedTo: number
  /** Next position for which the stage will have an output. */
  completedTo: number
  /** First position whose output is still in the log. */
  loggedFrom: number
  /** Tokens of the prompt; sent by the first stage until it has accepted inputs. */
  promptRows: Uint8Array[]
}

/** A stage refuses a request, of which it has run nothing. */
export interface RefusedFrame {
  request: string
  attempt: number
  stage: number
  kind: string
  message: string
}

/** A stage cannot continue a request. */
export interface FailedFrame {
  request: string
  attempt: number
  stage: number
  kind: string
  message: string
  /** Name of the endpoint that failed: the sender's or the next stage's. */
  culprit: string
}

/** One generated token. */
export interface Token {
  /** Input of the first stage for the next position. */
  row: Uint8Array
  text: string
  /** Whether the model ends its answer with this token. */
  isLast: boolean
}

/** Generated tokens for consecutive positions. */
export interface TokensFrame {
  request: string
  attempt: number
  /** Position whose output is the first token. */
  position: number
  tokens: Token[]
}

/** A message about one request; exactly one field is set. */
export interface Frame {
  open?: OpenFrame | null
  reroute?: RerouteFrame | null
  forward?: ForwardFrame | null
  step?: StepFrame | null
  close?: CloseFrame | null
  probe?: ProbeFrame | null
  status?: StatusFrame | null
  refused?: RefusedFrame | null
  failed?: FailedFrame | null
  tokens?: TokensFrame | null
}

/** @returns identifier of the request that a frame belongs to; empty if no field is set */
export const getFrameRequest = (frame: Frame): string => {
  const body = frame.step ?? frame.tokens ?? frame.open ?? frame.status ?? frame.forward ?? frame.reroute ??
    frame.close ?? frame.probe ?? frame.refused ?? frame.failed
  return body?.request ?? ''
}
