/**
 * Writes the answer to one caller: complete bodies, bodies too long to buffer, and event streams whose parts may come
 * from several endpoints in succession.
 */
import type { ServerResponse } from 'node:http'
import type { LocalAnswer } from './caller-protocol.js'

/** The part of an endpoint's answer head that is forwarded to the caller. */
export interface ForwardedHead {
  status: number
  /** Headers for the caller, as alternating names and values. */
  headers: string[]
}

/** Statuses whose answers have no body and no length. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304])

/** The answer to one call. */
export class AnswerWriter {
  private isWaitingForDrain = false

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
    this.begin(head, bodilessStatuses.has(head.status) ? [] : ['Content-Length', String(body.byteLength)])
    this.response.end(body)
  }

  /**
   * Sends the head of an answer whose body follows. It is sent in chunks, whatever its endpoint's framing, so that the caller
   * can tell a cut answer, also when this process is killed. Only to a caller of HTTP/1.0 it ends with the connection.
   *
   * @param extraHeaders - further headers, as alternating names and values
   */
  begin (head: ForwardedHead, extraHeaders: readonly string[] = []): void {
    if (this.closesConnection()) this.response.shouldKeepAlive = false
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

  /** @returns number of bytes that were written and that the caller's connection has not taken yet */
  getUnsentBytes (): number {
    return this.response.writableLength
  }

  /** Calls back once the response is closed: all of it is written, or the connection has ended. */
  notifyClosed (handleClosed: () => void): void {
    if (this.response.closed) handleClosed()
    else this.response.once('close', handleClosed)
  }

  /** Ends the body. */
  end (): void {
    this.response.end()
  }

  /**
   * Aborts the answer by closing the connection, so that the caller can tell that it is incomplete. The connection of an
   * answer without chunks is reset, since the caller could take its mere end for that of the answer.
   */
  cutOff (): void {
    if (!this.response.chunkedEncoding) this.response.socket?.resetAndDestroy()
    this.response.destroy()
  }
}
