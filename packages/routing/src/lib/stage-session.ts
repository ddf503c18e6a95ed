/**
 * One request at one stage: which inputs it accepts, what it has put out, and where outputs go.
 *
 * Every position is accepted once. Inputs of an older attempt are refused for good, so a stage that was replaced while
 * it was paused cannot disturb its successor.
 */
import type { ForwardFrame, Hop, OpenFrame, RerouteFrame, StatusFrame, StepFrame, Token } from './frames.js'
import { OutputLog } from './output-log.js'

/** What a stage puts out for one position: activations, or a token at the last stage. */
export type StageOutput = Uint8Array | Token

/** What became of a step. */
export const StepVerdict = {
  /** The rows are new and must run. */
  run: 'run',
  /** All rows were accepted before. */
  repeat: 'repeat',
  /** The step belongs to an older attempt. */
  stale: 'stale',
  /** Positions before the step are missing, or its attempt was never opened here. */
  gap: 'gap'
} as const
export type StepVerdict = typeof StepVerdict[keyof typeof StepVerdict]

/** A verdict on a step, with the rows to run. */
export interface StepDecision {
  verdict: StepVerdict
  position: number
  rows: Uint8Array[]
}

/** Outputs that are to be sent on now. */
export interface Delivery {
  attempt: number
  position: number
  outputs: StageOutput[]
  /** The next stage, or `undefined` for the entry. */
  next: Hop | undefined
}

/** @returns size of an output in bytes */
export const measureOutput = (output: StageOutput): number =>
  output instanceof Uint8Array ? output.byteLength : output.row.byteLength + output.text.length

/** State of one request at one stage. */
export class StageSession {
  readonly request: string
  readonly stage: number
  readonly team: string
  readonly model: string
  readonly fingerprint: string
  readonly firstLayer: number
  readonly lastLayer: number
  /** Whether the entry knows that the request was running when an engine crashed. */
  readonly isSuspect: boolean
  private attempt: number
  private next: Hop | undefined
  private acceptedTo = 0
  private sentTo = 0
  private isHeld: boolean
  private readonly log: OutputLog<StageOutput>

  /**
   * @param open - the reservation
   * @param maxLogBytes - bound on the outputs kept for a replacement of the next stage
   */
  constructor (open: OpenFrame, maxLogBytes: number) {
    this.request = open.request
    this.stage = open.stage
    this.team = open.team
    this.model = open.model
    this.fingerprint = open.fingerprint
    this.firstLayer = open.firstLayer
    this.lastLayer = open.lastLayer
    this.isSuspect = open.isSuspect
    this.attempt = open.attempt
    this.next = open.next ?? undefined
    this.isHeld = open.isHeld
    this.log = new OutputLog(maxLogBytes, measureOutput)
  }

  /** @returns the newest attempt seen */
  getAttempt (): number {
    return this.attempt
  }

  /** @returns name of the next stage's endpoint, or `undefined` at the last stage */
  getNextEndpoint (): string | undefined {
    return this.next?.endpoint
  }

  /** @returns size of the output log in bytes */
  getLogBytes (): number {
    return this.log.getBytes()
  }

  /**
   * Decides on inputs for this stage.
   *
   * @param step - the inputs
   * @returns the verdict, with those rows that were not accepted before
   */
  acceptStep (step: StepFrame): StepDecision {
    const none = { position: step.position, rows: [] }
    if (step.attempt < this.attempt) return { verdict: StepVerdict.stale, ...none }
    if (step.attempt > this.attempt || step.position > this.acceptedTo) return { verdict: StepVerdict.gap, ...none }
    const known = this.acceptedTo - step.position
    const rows = step.rows.slice(known)
    if (rows.length === 0) return { verdict: StepVerdict.repeat, ...none }
    const position = this.acceptedTo
    this.acceptedTo += rows.length
    return { verdict: StepVerdict.run, position, rows }
  }

  /**
   * Takes the outputs of rows that ran, in order of position.
   *
   * @param outputs - one output for each row
   * @returns what to send on now, or `undefined` while outputs are held back
   */
  complete (outputs: readonly StageOutput[]): Delivery | undefined {
    this.log.append(outputs)
    return this.createDelivery()
  }

  /**
   * Moves to a newer attempt and holds outputs back.
   *
   * @returns whether the attempt is newer than all seen before
   */
  reroute (frame: RerouteFrame): boolean {
    if (frame.attempt <= this.attempt) return false
    this.attempt = frame.attempt
    this.next = frame.next ?? undefined
    this.isHeld = true
    return true
  }

  /**
   * Sends outputs from a position on.
   *
   * @returns what to send now, or `undefined` if there is nothing yet or the frame is stale
   */
  forward (frame: ForwardFrame): Delivery | undefined {
    if (frame.attempt !== this.attempt) return undefined
    this.isHeld = false
    this.sentTo = frame.from
    return this.createDelivery()
  }

  /** @returns how far this stage has come */
  createStatus (): StatusFrame {
    return {
      request: this.request,
      attempt: this.attempt,
      stage: this.stage,
      acceptedTo: this.acceptedTo,
      completedTo: this.log.getEnd(),
      loggedFrom: this.log.getStart(),
      promptRows: []
    }
  }

  private createDelivery (): Delivery | undefined {
    if (this.isHeld || this.sentTo >= this.log.getEnd()) return undefined
    const position = Math.max(this.sentTo, this.log.getStart())
    const outputs = this.log.read(position)
    this.sentTo = this.log.getEnd()
    return { attempt: this.attempt, position, outputs, next: this.next }
  }
}
