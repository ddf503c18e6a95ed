/**
 * Writes the answer to one caller: bodies that are whole, bodies too long to hold, and streams of events that may come
 * from several endpoints one after the other.
 */
import type { ServerResponse } from 'node:http'
import type { OwnAnswer } from './caller-protocol.js'

/** Head of an endpoint's answer, as far as it is passed on. */
export interface PassedHead {
  status: number
  /** Whether the body ends with the connection, so that its end proves nothing. */
  isUnframed: boolean
  /** Headers for the caller: names and values by turns. */
  headers: string[]
}

/** The answer to one call. */
export class AnswerWriter {
  private isWaitingForDrain = false

  /**
   * @param response - where to write
   * @param closesConnection - whether the connection ends with this answer
   */
  constructor (
    private readonly response: ServerResponse,
    private readonly closesConnection: () => boolean
  ) {}

  /** @returns whether the caller has the head of an answer */
  hasBegun (): boolean {
    return this.response.headersSent
  }

  /** @returns whether the answer is over, or the caller has gone */
  isOver (): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /** Sends an answer of the router's own. */
  sendOwn (answer: OwnAnswer, mustClose: boolean): void {
    const body = Buffer.from(answer.body)
    const headers = { ...answer.headers, 'content-length': body.byteLength }
    if (mustClose || this.closesConnection()) this.response.shouldKeepAlive = false
    this.response.writeHead(answer.status, headers)
    this.response.end(body)
  }

  /** Sends an endpoint's whole answer. */
  sendWhole (head: PassedHead, body: Buffer): void {
    const length = head.isUnframed ? [] : ['Content-Length', String(body.byteLength)]
    this.begin(head, length)
    this.response.end(body)
  }

  /** Begins an answer whose body follows in pieces; one without a length stays so, and ends with the connection. */
  begin (head: PassedHead, extraHeaders: readonly string[] = []): void {
    if (head.isUnframed) this.response.useChunkedEncodingByDefault = false
    if (head.isUnframed || this.closesConnection()) this.response.shouldKeepAlive = false
    this.response.writeHead(head.status, [...head.headers, ...extraHeaders])
  }

  /**
   * Sends a piece of the body.
   *
   * @param continueReading - called when more can be written, if this piece filled the connection
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

  /** Breaks the answer off, so that it does not look complete. */
  cutOff (): void {
    this.response.destroy()
  }
}
