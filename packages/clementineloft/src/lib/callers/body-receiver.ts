/**
 * Receives the body of one request within the memory budget of the process.
 */
import type { IncomingMessage } from 'node:http'
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { KindError } from '@clementineloft/kernel'
import { MemoryHolder, MemoryKind } from '@clementineloft/routing'
import type { MemoryAccount } from '@clementineloft/routing'
import { BlockBuffer } from './block-buffer.js'
import { HeldSocket } from './held-socket.js'
import { processMemory } from './process-memory.js'

/** Memory of a request besides its body, in bytes: its head, parsed, and its answer. */
const requestBytes = 4096

/** A complete body, and its account in the budget, to be released when the body is not needed any more. */
export interface ReceivedBody {
  bytes: Buffer
  account: MemoryAccount
}

/** @returns the error for a request that is refused for want of memory */
export const createMemoryError = (): KindError =>
  createError(ErrorKind.overloaded, 'this instance has no memory left for the request body; retry later')

/** Receives one body. */
export class BodyReceiver extends MemoryHolder {
  readonly source: string
  private readonly body = new BlockBuffer()
  private readonly socket: HeldSocket
  private readonly account: MemoryAccount
  private isEnded = false
  private fail: (error: KindError) => void = () => {}

  /** @param maxBytes - maximum length of the body in bytes */
  constructor (
    private readonly request: IncomingMessage,
    private readonly maxBytes: number
  ) {
    super()
    this.source = request.socket.remoteAddress ?? ''
    this.socket = new HeldSocket(request.socket)
    this.account = processMemory.open(MemoryKind.receiving, this)
  }

  /**
   * @returns the body
   * @throws `too-large` if the body is longer; `bad-request` if it is truncated or cannot be read; `overloaded` if memory is short
   */
  async receive (): Promise<ReceivedBody> {
    return await new Promise((resolve, reject) => {
      this.fail = reject
      const { request } = this
      request.on('data', (chunk: Buffer) => { this.append(chunk) })
      request.on('end', () => { this.complete(resolve) })
      request.on('aborted', () => { this.end(createError(ErrorKind.badRequest, 'the request body is truncated: the connection closed before its end')) })
      request.on('error', (error) => { this.end(createError(ErrorKind.badRequest, 'the request body could not be read', { cause: error })) })
      if (!processMemory.isExhausted()) return
      processMemory.count('refusals', 'budget')
      this.close()
    })
  }

  override pause (): void {
    this.socket.pause()
  }

  override resume (): void {
    this.socket.resume()
  }

  override close (): void {
    this.socket.pause()
    this.end(createMemoryError())
  }

  private append (chunk: Buffer): void {
    if (this.isEnded) return
    if (this.body.getLength() + chunk.length > this.maxBytes) {
      this.socket.pause()
      this.end(createError(ErrorKind.tooLarge, `the request body is longer than the limit of ${this.maxBytes} bytes`))
      return
    }
    const costBefore = this.body.getCost()
    this.body.append(chunk)
    const cost = this.body.getCost()
    if (cost !== costBefore) this.account.update(cost + requestBytes)
  }

  private complete (resolve: (body: ReceivedBody) => void): void {
    if (this.isEnded) return
    this.isEnded = true
    this.socket.resume()
    const bytes = this.body.take()
    this.account.startRunning()
    this.account.update(bytes.length + requestBytes)
    resolve({ bytes, account: this.account })
  }

  private end (error: KindError): void {
    if (this.isEnded) return
    this.isEnded = true
    this.body.clear()
    this.account.release()
    this.fail(error)
  }
}
