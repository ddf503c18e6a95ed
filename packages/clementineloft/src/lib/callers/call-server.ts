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
import { BodyReceiver } from './body-receiver.js'
import { ConnectionLimiter, connectionCheckMs } from './connection-limiter.js'
import { HeldSocket } from './held-socket.js'
import { listenAt } from './http-server.js'
import { processMemory } from './process-memory.js'

/** Time limits of caller connections. */
export interface ConnectionLimits {
  /** Maximum time to receive the head of a request, in milliseconds. */
  headerTimeoutMs: number
  /** Maximum time to receive a complete request, in milliseconds; 0 for no limit. */
  requestTimeoutMs: number
  /** Maximum time for which an idle connection is kept open, in milliseconds. */
  idleTimeoutMs: number
}

/** A request from its head to the end of its answer. */
interface OpenRequest<Call> {
  request: IncomingMessage
  /** `undefined` if its head could not be read. */
  call?: Call
  /** Whether the host has started it, so that it may have run. */
  isStarted: boolean
}

const createLeavingError = (): KindError => createError(ErrorKind.leaving, 'this instance is shutting down; retry on a new connection')

/** Serves callers of one protocol. */
export class CallServer<Call extends CallHead> {
  private readonly server: Server
  private readonly connections: ConnectionLimiter
  private readonly openRequests = new Map<ServerResponse, OpenRequest<Call>>()
  private isRefusing = false
  private maxCalls = Infinity

  /**
   * @param maxHeaderBytes - maximum length of a request head that the parser accepts, in bytes
   */
  constructor (
    private readonly protocol: CallerProtocol<Call>,
    private readonly host: CallHost<Call>,
    private readonly clock: Clock,
    maxHeaderBytes: number
  ) {
    this.server = createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true, connectionsCheckingInterval: connectionCheckMs }, (request, response) => {
      if (this.connections.begin(request, response)) void this.handle(request, response)
    })
    this.connections = new ConnectionLimiter(this.server)
  }

  /** Applies limits to requests that arrive from now on. */
  applyLimits (limits: ConnectionLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.requestTimeout = limits.requestTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** Applies a maximum number of connections, and the same of calls at a time: each may need a connection to an endpoint. */
  applyMaxConnections (maxConnections: number): void {
    this.maxCalls = maxConnections
    this.connections.applyLimit(maxConnections)
  }

  /** Listens for callers. */
  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  /** Stops accepting new connections. */
  stopListening (): void {
    this.server.close()
  }

  /** Closes connections on which no request is in progress, unless an answer that has ended is still being written. */
  closeIdle (): void {
    // To the server, the connection of such an answer is idle.
    const isWriting = [...this.openRequests.keys()].some((response) => response.writableEnded)
    if (!isWriting) this.server.closeIdleConnections()
  }

  /** Refuses all calls that are not started yet from now on, since too little time is left to serve them. */
  refuseNewCalls (): void {
    this.isRefusing = true
  }

  /** @returns number of requests that are being read, run or answered */
  countOpen (): number {
    return this.openRequests.size
  }

  /** Answers every request that has no answer yet, and cuts off the answers that have begun and not ended. */
  endOpen (): void {
    for (const [response, { request, call, isStarted }] of this.openRequests) {
      const writer = new AnswerWriter(response, () => true)
      if (writer.isEnded()) continue
      // The call that owns the response may still write to it.
      response.on('error', () => {})
      const error = isStarted
        ? createError(ErrorKind.outcomeUnknown, 'this instance stopped before the call had an answer')
        : createLeavingError()
      if (writer.hasBegun()) writer.cutOff()
      else writer.sendLocalAnswer(this.protocol.createAnswer(call, error, this.host.getRetryAfterMs()), !request.complete)
    }
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedMs = this.clock.now()
    const open: OpenRequest<Call> = { request, isStarted: false }
    this.openRequests.set(response, open)
    response.on('close', () => { this.openRequests.delete(response) })
    try {
      open.call = this.protocol.readCall(request)
      this.checkServing()
      this.checkRoom()
      const accepted = this.host.accept(open.call, arrivedMs)
      const { bytes, account } = await new BodyReceiver(request, accepted.maxBodyBytes).receive()
      if (response.closed) account.release()
      else response.on('close', () => { account.release() })
      this.checkServing()
      if (response.destroyed) return
      open.isStarted = true
      await accepted.start(bytes, request, response)
    } catch (error) {
      this.refuse(open.call, error, request, response)
    }
  }

  private checkServing (): void {
    if (this.isRefusing) throw createLeavingError()
  }

  /** Only pipelined calls can exceed the limit. */
  private checkRoom (): void {
    if (this.openRequests.size <= this.maxCalls) return
    processMemory.count('refusals', 'calls')
    throw createError(ErrorKind.overloaded, 'this instance has too many calls in progress; retry later')
  }

  /** What has been read of the body is dropped, and no more is read; the connection closes after the answer. */
  private dropBody (request: IncomingMessage): void {
    new HeldSocket(request.socket).pause()
    request.resume()
  }

  private refuse (call: Call | undefined, thrown: unknown, request: IncomingMessage, response: ServerResponse): void {
    if (!request.complete) this.dropBody(request)
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
