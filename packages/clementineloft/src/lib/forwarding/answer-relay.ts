/**
 * Passes the body of one endpoint's answer on to the caller as it arrives, with back-pressure.
 */
import type { IncomingMessage } from 'node:http'
import type { AnswerWriter } from '../callers/answer-writer.js'
import type { AnswerHead } from './call-protocol.js'
import type { EndpointExchange } from './endpoint-exchange.js'
import { EventSplitter } from './event-splitter.js'

/** Body that is held until it is whole, in bytes; longer ones are passed on as they arrive. */
const maxBufferedBytes = 262_144

/** What becomes of an answer; nothing is told once the attempt that it belongs to is over. */
export interface RelayListener {
  /** Whole events have been passed on; the identity of the last is absent if it has none. */
  handleEvents: (count: number, lastId: string | undefined) => void
  /** The answer is whole. The rest of it is sent by {@link AnswerRelay.finish}. */
  handleComplete: () => void
  /** The answer broke off. */
  handleTruncated: (reason: string) => void
}

/** Relays one answer. */
export class AnswerRelay {
  private held: Buffer[] = []
  private bufferedBytes = 0

  /**
   * @param response - the endpoint's answer
   * @param exchange - connection on which it arrives
   * @param writer - writes to the caller
   * @param isCurrent - whether the attempt still goes on
   */
  constructor (
    private readonly head: AnswerHead,
    private readonly response: IncomingMessage,
    private readonly exchange: EndpointExchange | undefined,
    private readonly writer: AnswerWriter,
    private readonly isCurrent: () => boolean
  ) {}

  /** Passes events on, each only when it is whole. */
  forwardEvents (listener: RelayListener): void {
    const splitter = new EventSplitter()
    if (!this.writer.hasBegun()) this.writer.begin(this.head)
    this.response.on('data', (chunk: Buffer) => {
      if (!this.isCurrent()) return
      const batch = splitter.add(chunk)
      if (batch === undefined) return
      listener.handleEvents(batch.count, batch.lastId)
      this.write(batch.bytes)
    })
    this.response.on('close', () => {
      if (!this.isCurrent()) return
      if (this.isComplete() && splitter.getIncompleteEvent().length === 0) listener.handleComplete()
      else listener.handleTruncated('the stream broke off')
    })
  }

  /** Passes a body on: short ones when they are whole, so that the call can still be sent elsewhere until then. */
  forwardBody (listener: RelayListener): void {
    this.response.on('data', (chunk: Buffer) => {
      if (!this.isCurrent()) return
      this.appendChunk(chunk)
      if (this.bufferedBytes > maxBufferedBytes) this.flush()
    })
    this.response.on('close', () => {
      if (!this.isCurrent()) return
      if (this.isComplete()) listener.handleComplete()
      else listener.handleTruncated('the body broke off')
    })
  }

  /** Reads a body that the caller may never see. */
  readBody (finish: (body: Buffer) => void, handleTruncated: () => void): void {
    this.response.on('data', (chunk: Buffer) => { this.appendChunk(chunk) })
    this.response.on('close', () => {
      if (!this.isCurrent()) return
      if (this.isComplete()) finish(Buffer.concat(this.held))
      else handleTruncated()
    })
  }

  /** Ends the caller's answer after {@link RelayListener.handleComplete}. */
  finish (): void {
    if (this.writer.hasBegun()) this.writer.end()
    else this.writer.sendWhole(this.head, Buffer.concat(this.held))
  }

  private isComplete (): boolean {
    return this.response.complete && this.exchange?.hasBeenReset() === false
  }

  private appendChunk (chunk: Buffer): void {
    this.bufferedBytes += chunk.byteLength
    this.held.push(chunk)
  }

  private flush (): void {
    if (!this.writer.hasBegun()) this.writer.begin(this.head)
    const chunk = Buffer.concat(this.held)
    this.held = []
    this.write(chunk)
  }

  private write (chunk: Buffer): void {
    if (!this.writer.write(chunk, () => { this.response.resume() })) this.response.pause()
  }
}
