/**
 * State of one request at one stage: which inputs have been accepted, which outputs exist, and where they are sent.
 *
 * Every position is accepted once, so a repeated step does not run twice. Inputs of an older attempt are refused
 * permanently, so a stage that was paused and meanwhile replaced cannot send inputs that interfere with its replacement.
 */
import type { ForwardFrame, Hop, OpenFrame, RerouteFrame, StatusFrame, StepFrame, Token } from './frames.js'
import { OutputLog } from './output-log.js'

/** Output of a stage for one position: activations, or a token at the last stage. */
export type StageOutput = Uint8Array | Token

/** How a step is treated. */
export const StepVerdict = {
  /** The rows are new and must run. */
  run: 'run',
  /** All rows have already been accepted. */
  repeat: 'repeat',
  /** The step belongs to an older attempt. */
  stale: 'stale',
  /** Positions before the step are missing, or its attempt is newer than the one opened here. */
  gap: 'gap'
} as const
export type StepVerdict = typeof StepVerdict[keyof typeof StepVerdict]

/** The verdict on a step, with the rows to run. */
export interface StepDecision {
  verdict: StepVerdict
  position: number
  rows: Uint8Array[]
}

/** Consecutive outputs to send now. */
export interface OutputBatch {
  attempt: number
  position: number
  outputs: StageOutput[]
  /** The next stage, or `undefined` if the outputs go to the entry. */
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
  /** Whether the entry reported that the request was running when an engine crashed. */
  readonly isSuspect: boolean
  private attempt: number
  private next: Hop | undefined
  private acceptedTo = 0
  private sentTo = 0
  private isHeld: boolean
  private readonly log: OutputLog<StageOutput>

  /**
   * @param open - the frame that opens the session
   * @param maxLogBytes - maximum size of the outputs kept for a replacement of the next stage, in bytes
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

  /** @returns number of the current attempt, which is the highest seen */
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
   * Accepts those inputs of a step that are new.
   *
   * @param step - the inputs
   * @returns the verdict, with the rows that had not been accepted before
   */
  acceptStep (step: StepFrame): StepDecision {
    const noRows = { position: step.position, rows: [] }
    if (step.attempt < this.attempt) return { verdict: StepVerdict.stale, ...noRows }
    if (step.attempt > this.attempt || step.position > this.acceptedTo) return { verdict: StepVerdict.gap, ...noRows }
    const acceptedCount = this.acceptedTo - step.position
    const rows = step.rows.slice(acceptedCount)
    if (rows.length === 0) return { verdict: StepVerdict.repeat, ...noRows }
    const position = this.acceptedTo
    this.acceptedTo += rows.length
    return { verdict: StepVerdict.run, position, rows }
  }

  /**
   * Appends the outputs of rows that have run, in order of position.
   *
   * @param outputs - one output for each row
   * @returns the outputs to send now, or `undefined` while outputs are held back
   */
  complete (outputs: readonly StageOutput[]): OutputBatch | undefined {
    this.log.append(outputs)
    return this.takeUnsent()
  }

  /**
   * Switches to a newer attempt and holds outputs back until {@link forward}.
   *
   * @returns whether the attempt is newer than the current one; otherwise nothing changes
   */
  reroute (frame: RerouteFrame): boolean {
    if (frame.attempt <= this.attempt) return false
    this.attempt = frame.attempt
    this.next = frame.next ?? undefined
    this.isHeld = true
    return true
  }

  /**
   * Ends the holding back of outputs and sends them from a given position.
   *
   * @returns the outputs to send now, or `undefined` if there are none yet or the frame is of another attempt
   */
  forward (frame: ForwardFrame): OutputBatch | undefined {
    if (frame.attempt !== this.attempt) return undefined
    this.isHeld = false
    this.sentTo = frame.from
    return this.takeUnsent()
  }

  /** @returns the positions that this stage has accepted, completed and still holds in its log */
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

  private takeUnsent (): OutputBatch | undefined {
    if (this.isHeld || this.sentTo >= this.log.getEnd()) return undefined
    const position = Math.max(this.sentTo, this.log.getStart())
    const outputs = this.log.read(position)
    this.sentTo = this.log.getEnd()
    return { attempt: this.attempt, position, outputs, next: this.next }
  }
}
