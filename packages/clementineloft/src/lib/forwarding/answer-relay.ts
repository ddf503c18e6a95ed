/**
 * Forwards the body of one endpoint's answer to the caller as it arrives, with back-pressure.
 */
import type { IncomingMessage } from 'node:http'
import type { AnswerWriter } from '../callers/answer-writer.js'
import type { AnswerHead } from './call-protocol.js'
import type { EndpointExchange } from './endpoint-exchange.js'
import { EventSplitter } from './event-splitter.js'

/**
 * Maximum size of a body that is buffered until it is complete, in bytes; a larger one is forwarded as it arrives. Also the
 * maximum size of the body of an error answer and of one event, since a faulty endpoint may send bytes without end.
 */
const maxBufferedBytes = 262_144

/** Receives the progress of an answer. Nothing is called once the attempt has ended. */
export interface RelayListener {
  /** Called for complete events about to be forwarded. `lastId` is that of the last event with an id, if any. */
  handleEvents: (count: number, lastId: string | undefined) => void
  /** Called when the answer is complete. {@link AnswerRelay.finish} sends its remainder. */
  handleComplete: () => void
  /** Called when the answer ended before it was complete. */
  handleTruncated: (reason: string) => void
}

/** Relays one answer. */
export class AnswerRelay {
  private bufferedChunks: Buffer[] = []
  private bufferedBytes = 0

  /**
   * @param response - answer of the endpoint
   * @param exchange - exchange on which it arrives
   * @param writer - writes the answer to the caller
   * @param isCurrent - whether the attempt is still in progress
   */
  constructor (
    private readonly head: AnswerHead,
    private readonly response: IncomingMessage,
    private readonly exchange: EndpointExchange | undefined,
    private readonly writer: AnswerWriter,
    private readonly isCurrent: () => boolean
  ) {}

  /** Forwards a stream of events, each event only once it is complete. */
  forwardEvents (listener: RelayListener): void {
    const splitter = new EventSplitter()
    if (!this.writer.hasBegun()) this.writer.begin(this.head)
    this.response.on('data', (chunk: Buffer) => {
      if (!this.isCurrent()) return
      const batch = splitter.add(chunk)
      if (splitter.getIncompleteBytes() > maxBufferedBytes) {
        listener.handleTruncated(`an event exceeds ${maxBufferedBytes} bytes`)
        return
      }
      if (batch === undefined) return
      listener.handleEvents(batch.count, batch.lastId)
      this.write(batch.bytes)
    })
    this.response.on('close', () => {
      if (!this.isCurrent()) return
      if (this.isComplete() && splitter.getIncompleteBytes() === 0) listener.handleComplete()
      else listener.handleTruncated('the stream ended before it was complete')
    })
  }

  /** Forwards a body. A short one is buffered until it is complete, so that the call can be retried until then. */
  forwardBody (listener: RelayListener): void {
    this.response.on('data', (chunk: Buffer) => {
      if (!this.isCurrent()) return
      this.appendChunk(chunk)
      if (this.bufferedBytes > maxBufferedBytes) this.flush()
    })
    this.response.on('close', () => {
      if (!this.isCurrent()) return
      if (this.isComplete()) listener.handleComplete()
      else listener.handleTruncated('the body ended before it was complete')
    })
  }

  /**
   * Reads a body without forwarding it.
   *
   * @param finish - receives the complete body
   * @param handleTruncated - called if the body ends before it is complete, or exceeds {@link maxBufferedBytes}
   */
  readBody (finish: (body: Buffer) => void, handleTruncated: () => void): void {
    this.response.on('data', (chunk: Buffer) => {
      if (!this.isCurrent()) return
      this.appendChunk(chunk)
      if (this.bufferedBytes > maxBufferedBytes) handleTruncated()
    })
    this.response.on('close', () => {
      if (!this.isCurrent()) return
      if (this.isComplete()) finish(Buffer.concat(this.bufferedChunks))
      else handleTruncated()
    })
  }

  /** Sends the remainder of the answer and ends it, after {@link RelayListener.handleComplete}. */
  finish (): void {
    if (this.writer.hasBegun()) this.writer.end()
    else this.writer.sendWhole(this.head, Buffer.concat(this.bufferedChunks))
  }

  private isComplete (): boolean {
    return this.response.complete && this.exchange?.hasBeenReset() === false
  }

  private appendChunk (chunk: Buffer): void {
    this.bufferedBytes += chunk.byteLength
    this.bufferedChunks.push(chunk)
  }

  private flush (): void {
    if (!this.writer.hasBegun()) this.writer.begin(this.head)
    const chunk = Buffer.concat(this.bufferedChunks)
    this.bufferedChunks = []
    this.write(chunk)
  }

  private write (chunk: Buffer): void {
    if (!this.writer.write(chunk, () => { this.response.resume() })) this.response.pause()
  }
}
