/**
 * The messages between entries and sidecars about one request on one pipeline.
 *
 * Exactly one field of a {@link Frame} is set. The shapes equal those of the generated codec, so no conversion takes
 * place between decisions and wire.
 */

/** Where a stage sends its outputs. */
export interface Hop {
  /** Name of the endpoint. */
  endpoint: string
  /** Address of its sidecar, `ip:port`. */
  address: string
}

/** Reserves a stage for a request. Nothing runs before the first {@link StepFrame}. */
export interface OpenFrame {
  request: string
  attempt: number
  stage: number
  team: string
  model: string
  firstLayer: number
  /** Last layer, included. */
  lastLayer: number
  /** The next stage; absent at the last one, whose outputs are tokens for the entry. */
  next?: Hop | null
  /** Text to encode into tokens; given to the first stage only. */
  prompt: string
  /** Fingerprint of team and content, the same for every repeat of a request. */
  fingerprint: string
  /** Milliseconds left until the answer is of no use; 0 for no limit. */
  deadlineMs: number
  /** Whether outputs are kept back until a {@link ForwardFrame} says from where to send them. */
  isHeld: boolean
  /** Whether the request was running when an engine crashed, so that it must run alone. */
  isSuspect: boolean
}

/** Moves a stage that keeps running to a newer attempt, with its outputs held back. */
export interface RerouteFrame {
  request: string
  attempt: number
  next?: Hop | null
}

/** Tells a stage to send its outputs, logged and future ones, from a position on. */
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

/** Ends a request at a stage and refuses all that belongs to it from then on. */
export interface CloseFrame {
  request: string
  attempt: number
}

/** Asks a stage for its {@link StatusFrame}. */
export interface ProbeFrame {
  request: string
  attempt: number
}

/** How far a stage has come. Answers open, reroute and probe. */
export interface StatusFrame {
  request: string
  attempt: number
  stage: number
  /** Next position that the stage accepts. */
  acceptedTo: number
  /** Next position that the stage will output. */
  completedTo: number
  /** First position whose output is still in the log. */
  loggedFrom: number
  /** Tokens of the prompt; sent by the first stage in answer to open. */
  promptRows: Uint8Array[]
}

/** A stage will not take a request; it has run nothing of it. */
export interface RefusedFrame {
  request: string
  attempt: number
  stage: number
  kind: string
  message: string
}

/** A stage cannot go on. */
export interface FailedFrame {
  request: string
  attempt: number
  stage: number
  kind: string
  message: string
  /** Name of the endpoint at fault; the sender's own or the next stage's. */
  culprit: string
}

/** One generated token. */
export interface Token {
  /** The row that is the first stage's input for the next position. */
  row: Uint8Array
  text: string
  /** Whether the model ends its answer here. */
  isLast: boolean
}

/** Tokens that follow consecutive positions. */
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

/** @returns identity of the request that a frame is about */
export const getFrameRequest = (frame: Frame): string => {
  const body = frame.step ?? frame.tokens ?? frame.open ?? frame.status ?? frame.forward ?? frame.reroute ??
    frame.close ?? frame.probe ?? frame.refused ?? frame.failed
  return body?.request ?? ''
}
