/**
 * Writes the answer to one caller: complete bodies, bodies too long to buffer, and event streams whose parts may come
 * from several endpoints in succession.
 */
import type { ServerResponse } from 'node:http'
import type { LocalAnswer } from './caller-protocol.js'

/** The part of an endpoint's answer head that is forwarded to the caller. */
export interface ForwardedHead {
  status: number
  /** Whether the body is delimited by the end of the connection, so that a truncated body looks complete. */
  isCloseDelimited: boolean
  /** Headers for the caller, as alternating names and values. */
  headers: string[]
}

/** The answer to one call. */
export class AnswerWriter {
  private isWaitingForDrain = false
  private isCloseDelimited = false

  /**
   * @param response - response to write to
   * @param closesConnection - whether the connection closes after this answer
   */
  constructor (
    private readonly response: ServerResponse,
    private readonly closesConnection: () => boolean
  ) {}

  /** @returns whether the head of the answer has been sent */
  hasBegun (): boolean {
    return this.response.headersSent
  }

  /** @returns whether the answer has ended or the caller has disconnected */
  isEnded (): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /**
   * Sends an answer that the entry creates itself, such as a refusal.
   *
   * @param mustClose - whether to close the connection after the answer
   */
  sendLocalAnswer (answer: LocalAnswer, mustClose: boolean): void {
    const body = Buffer.from(answer.body)
    const headers = { ...answer.headers, 'content-length': body.byteLength }
    if (mustClose || this.closesConnection()) this.response.shouldKeepAlive = false
    this.response.writeHead(answer.status, headers)
    this.response.end(body)
  }

  /** Sends an endpoint's answer with its complete body. */
  sendWhole (head: ForwardedHead, body: Buffer): void {
    const length = head.isCloseDelimited ? [] : ['Content-Length', String(body.byteLength)]
    this.begin(head, length)
    this.response.end(body)
  }

  /**
   * Sends the head of an answer whose body follows in chunks. A body that is delimited by the end of the connection
   * stays so: it is sent without chunked encoding, and the connection closes after it.
   *
   * @param extraHeaders - further headers, as alternating names and values
   */
  begin (head: ForwardedHead, extraHeaders: readonly string[] = []): void {
    this.isCloseDelimited = head.isCloseDelimited
    if (head.isCloseDelimited) this.response.useChunkedEncodingByDefault = false
    if (head.isCloseDelimited || this.closesConnection()) this.response.shouldKeepAlive = false
    this.response.writeHead(head.status, [...head.headers, ...extraHeaders])
  }

  /**
   * Sends a chunk of the body.
   *
   * @param continueReading - called when more can be written, if this chunk filled the connection's buffer
   * @returns whether more can be written now
   */
  write (chunk: Buffer, continueReading: () => void): boolean {
    if (this.response.write(chunk)) return true
    if (!this.isWaitingForDrain) {
      this.isWaitingForDrain = true
      this.response.once('drain', () => {
        this.isWaitingForDrain = false
        continueReading()
      })
    }
    return false
  }

  /** Ends the body. */
  end (): void {
    this.response.end()
  }

  /**
   * Aborts the answer by closing the connection, so that the caller can tell that it is incomplete. The connection of an
   * answer that ends with it is reset, since the caller would take its mere end for that of the answer.
   */
  cutOff (): void {
    if (this.isCloseDelimited) this.response.socket?.resetAndDestroy()
    this.response.destroy()
  }
}
