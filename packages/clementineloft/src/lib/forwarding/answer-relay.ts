/**
 * Forwards the body of one endpoint's answer to the caller as it arrives, with back-pressure.
 */
import type { IncomingMessage } from 'node:http'
import { MemoryHolder, MemoryKind } from '@clementineloft/routing'
import type { MemoryAccount } from '@clementineloft/routing'
import type { AnswerWriter } from '../callers/answer-writer.js'
import { BlockBuffer } from '../callers/block-buffer.js'
import { processMemory } from '../callers/process-memory.js'
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
  /** Called when this process gives the answer up, which is no evidence against its endpoint. */
  handleAbandoned: (reason: string) => void
}

/** Relays one answer within the memory budget of the process. */
export class AnswerRelay extends MemoryHolder {
  readonly source: string
  private readonly buffer = new BlockBuffer()
  private readonly splitter = new EventSplitter()
  private readonly account: MemoryAccount
  /** Memory by the last update of the account, in bytes. */
  private cost = 0
  private isForwarding = false
  private isFlushScheduled = false
  /** Whether the caller has to read before more is read from the endpoint. */
  private isWaitingForCaller = false
  private isPausedForMemory = false
  /** Whether the memory budget has closed the answer, so that nothing of it is used any more. */
  private isClosed = false
  private handleAbandoned: (reason: string) => void = () => {}

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
  ) {
    super()
    // Reading the peer of the connection here would keep it, and ResetDetector could no longer tell a reset from an end.
    this.source = exchange?.address ?? ''
    this.account = processMemory.open(MemoryKind.answer, this)
    response.on('close', () => {
      // What the caller has not read yet counts until its connection has taken it.
      if (this.canUse()) this.writer.notifyClosed(() => { this.account.release() })
      else this.account.release()
    })
  }

  override pause (): void {
    this.isPausedForMemory = true
    this.response.pause()
  }

  override resume (): void {
    this.isPausedForMemory = false
    if (!this.isWaitingForCaller) this.response.resume()
  }

  override close (): void {
    this.isClosed = true
    this.buffer.clear()
    this.splitter.clear()
    if (this.isCurrent()) this.handleAbandoned('memory is short')
    else this.writer.cutOff()
  }

  /** Forwards a stream of events, each event only once it is complete. */
  forwardEvents (listener: RelayListener): void {
    const { splitter } = this
    this.handleAbandoned = listener.handleAbandoned
    if (!this.writer.hasBegun()) this.writer.begin(this.head)
    this.response.on('data', (chunk: Buffer) => {
      if (!this.canUse()) return
      const batch = splitter.add(chunk)
      this.recordCost()
      if (!this.canUse()) return
      if (splitter.getIncompleteBytes() > maxBufferedBytes) {
        listener.handleTruncated(`an event exceeds ${maxBufferedBytes} bytes`)
        return
      }
      if (batch === undefined) return
      listener.handleEvents(batch.count, batch.lastId)
      this.write(batch.bytes)
    })
    this.response.on('close', () => {
      if (!this.canUse()) return
      if (this.isComplete() && splitter.getIncompleteBytes() === 0) listener.handleComplete()
      else listener.handleTruncated('the stream ended before it was complete')
    })
  }

  /** Forwards a body. A short one is buffered until it is complete, so that the call can be retried until then. */
  forwardBody (listener: RelayListener): void {
    this.handleAbandoned = listener.handleAbandoned
    this.response.on('data', (chunk: Buffer) => {
      if (!this.canUse()) return
      this.appendChunk(chunk)
      if (!this.canUse()) return
      if (this.isForwarding) this.scheduleFlush()
      else if (this.buffer.getLength() > maxBufferedBytes) {
        this.isForwarding = true
        this.flush()
      }
    })
    this.response.on('close', () => {
      if (!this.canUse()) return
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
    this.handleAbandoned = handleTruncated
    this.response.on('data', (chunk: Buffer) => {
      if (!this.canUse()) return
      this.appendChunk(chunk)
      if (!this.canUse()) return
      if (this.buffer.getLength() > maxBufferedBytes) handleTruncated()
    })
    this.response.on('close', () => {
      if (!this.canUse()) return
      if (this.isComplete()) finish(this.buffer.take())
      else handleTruncated()
    })
  }

  /** Sends the remainder of the answer and ends it, after {@link RelayListener.handleComplete}. */
  finish (): void {
    if (!this.writer.hasBegun()) {
      this.writer.sendWhole(this.head, this.buffer.take())
      this.recordCost()
      return
    }
    if (this.buffer.getLength() > 0) this.flush()
    this.writer.end()
  }

  /** @returns whether the answer still counts: neither has its attempt ended nor has the memory budget closed it */
  private canUse (): boolean {
    return this.isCurrent() && !this.isClosed
  }

  private isComplete (): boolean {
    return this.response.complete && this.exchange?.hasBeenReset() === false
  }

  private appendChunk (chunk: Buffer): void {
    this.buffer.append(chunk)
    this.recordCost()
  }

  private recordCost (): void {
    const cost = this.buffer.getCost() + this.splitter.getCost() + this.writer.getUnsentBytes()
    if (cost === this.cost) return
    this.cost = cost
    this.account.update(cost)
  }

  /** Writes all chunks that were read together as one, since each write costs far more than a short chunk. */
  private scheduleFlush (): void {
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    process.nextTick(() => {
      this.isFlushScheduled = false
      if (this.canUse() && this.buffer.getLength() > 0) this.flush()
    })
  }

  private flush (): void {
    if (!this.writer.hasBegun()) this.writer.begin(this.head)
    this.write(this.buffer.take())
  }

  private write (chunk: Buffer): void {
    const canContinue = this.writer.write(chunk, () => {
      this.isWaitingForCaller = false
      this.recordCost()
      if (!this.isPausedForMemory) this.response.resume()
    })
    if (!canContinue) {
      this.isWaitingForCaller = true
      this.response.pause()
    }
    this.recordCost()
  }
}
