/**
 * The HTTP server for callers of every entry: reads requests, has the host accept or refuse each one, and answers the
 * refused ones.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createError, ErrorKind, getErrorMessage, KindError } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { AnswerWriter } from './answer-writer.js'
import type { CallHost } from './call-host.js'
import type { CallerProtocol, CallHead } from './caller-protocol.js'
import { listenAt, readBody } from './http-server.js'

/** Time limits of caller connections. */
export interface ConnectionLimits {
  /** Maximum time to receive the head of a request, in milliseconds. */
  headerTimeoutMs: number
  /** Maximum time to receive a complete request, in milliseconds; 0 for no limit. */
  requestTimeoutMs: number
  /** Maximum time for which an idle connection is kept open, in milliseconds. */
  idleTimeoutMs: number
}

/** Serves callers of one protocol. */
export class CallServer<Call extends CallHead> {
  private readonly server: Server

  /**
   * @param maxHeaderBytes - maximum length of a request head that the parser accepts, in bytes
   */
  constructor (
    private readonly protocol: CallerProtocol<Call>,
    private readonly host: CallHost<Call>,
    private readonly clock: Clock,
    maxHeaderBytes: number
  ) {
    this.server = createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true }, (request, response) => { void this.handle(request, response) })
  }

  /** Applies limits to requests that arrive from now on. */
  applyLimits (limits: ConnectionLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.requestTimeout = limits.requestTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** Listens for callers. */
  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  /** Stops accepting new connections. */
  stopListening (): void {
    this.server.close()
  }

  /** Closes connections on which no request is in progress. */
  closeIdle (): void {
    this.server.closeIdleConnections()
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedMs = this.clock.now()
    let call: Call | undefined
    try {
      call = this.protocol.readCall(request)
      const accepted = this.host.accept(call, arrivedMs)
      const body = await readBody(request, accepted.maxBodyBytes)
      if (!response.destroyed) await accepted.start(body, request, response)
    } catch (error) {
      this.refuse(call, error, request, response)
    }
  }

  private refuse (call: Call | undefined, thrown: unknown, request: IncomingMessage, response: ServerResponse): void {
    const error = thrown instanceof KindError ? thrown : createError(ErrorKind.internal, getErrorMessage(thrown), { cause: thrown })
    this.host.recordRefusal(call, error)
    const writer = new AnswerWriter(response, () => this.host.isLeaving())
    if (writer.isEnded()) return
    if (writer.hasBegun()) {
      writer.cutOff()
      return
    }
    writer.sendLocalAnswer(this.protocol.createAnswer(call, error, this.host.getRetryAfterMs()), !request.complete)
  }
}
