/**
 * One HTTP request to one endpoint: opens or reuses a connection with a connect timeout, and reports the response head or
 * a failure, including whether the request may have reached the endpoint.
 */
import { request as openRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { getErrorMessage } from '@clementineloft/kernel'
import type { Clock, Timer } from '@clementineloft/kernel'
import { ResetDetector } from '../adapters/reset-detector.js'
import { EndpointAgent } from './endpoint-agent.js'

/** Errors of opening a connection that lie in this process or its host. */
const localErrorCodes: ReadonlySet<string> = new Set(['EMFILE', 'ENFILE'])

/** Request to send. */
export interface ExchangeRequest {
  method: string
  target: string
  /** Host and port. */
  address: string
  /** Headers, including the length of the body; names and values alternate. */
  headers: string[]
  body: Buffer
  /** Whether to open a new connection, since a late answer to an earlier call could be taken for that of this call. */
  needsFreshConnection: boolean
  /** Timeout for setting up a connection, in milliseconds. */
  connectTimeoutMs: number
}

/** Receives exactly one of a response head or a failure, unless the exchange is cancelled first. */
export interface ExchangeListener {
  handleHead (response: IncomingMessage): void
  /**
   * @param wasSent - false if there was no connection, so that the request cannot have left this process
   * @param reason - description of the failure
   * @param isLocal - whether this process could not open a connection for want of descriptors, which says nothing
   * about the endpoint
   */
  handleFailure (wasSent: boolean, reason: string, isLocal: boolean): void
}

/** Opens exchanges over a pool of persistent connections. */
export class EndpointExchanges {
  private readonly agent = new EndpointAgent()

  constructor (private readonly clock: Clock) {}

  /** Sends a request. */
  open (request: ExchangeRequest, listener: ExchangeListener): EndpointExchange {
    return new EndpointExchange(request, request.needsFreshConnection ? false : this.agent, this.clock, listener)
  }

  /** Closes idle connections. */
  close (): void {
    this.agent.destroy()
  }
}

/** One request in progress. */
export class EndpointExchange {
  /** Address of the endpoint, host and port. */
  readonly address: string
  private readonly outgoing: ClientRequest
  private readonly resets: ResetDetector
  private isConnected = false
  private isFinished = false
  private connectTimer: Timer | undefined

  constructor (
    request: ExchangeRequest,
    agent: Agent | false,
    clock: Clock,
    private readonly listener: ExchangeListener
  ) {
    this.address = request.address
    const separator = request.address.lastIndexOf(':')
    this.outgoing = openRequest({
      agent,
      host: request.address.slice(0, separator),
      port: Number(request.address.slice(separator + 1)),
      method: request.method,
      path: request.target,
      headers: request.headers as unknown as string[],
      setHost: false
    })
    this.resets = new ResetDetector(this.outgoing)
    this.outgoing.on('socket', (socket) => { this.watchConnection(socket, request.connectTimeoutMs, clock) })
    this.outgoing.on('response', (response) => { this.acceptResponse(response) })
    this.outgoing.on('error', (error: NodeJS.ErrnoException) => { this.fail(getErrorMessage(error), localErrorCodes.has(error.code ?? '')) })
    this.outgoing.on('close', () => { this.fail('the connection was closed before a response head arrived') })
    this.outgoing.end(request.body)
  }

  /** Closes the connection, so that the endpoint stops working on the call. */
  cancel (): void {
    this.isFinished = true
    this.connectTimer?.cancel()
    this.outgoing.destroy()
  }

  /** @returns whether the connection was reset before the answer was complete; a body without a length then appears complete */
  hasBeenReset (): boolean {
    return this.resets.hasBeenReset()
  }

  private watchConnection (socket: Socket, timeoutMs: number, clock: Clock): void {
    socket.setNoDelay(true)
    if (!socket.connecting) {
      this.isConnected = true
      return
    }
    socket.once('connect', () => {
      this.isConnected = true
      this.connectTimer?.cancel()
    })
    this.connectTimer = clock.schedule(timeoutMs, () => {
      this.fail(`no connection to the endpoint within ${timeoutMs} ms`)
      this.outgoing.destroy()
    })
  }

  private acceptResponse (response: IncomingMessage): void {
    if (this.isFinished) {
      response.resume()
      return
    }
    this.isFinished = true
    response.on('error', () => { /* The relay detects the incomplete response on close. */ })
    this.listener.handleHead(response)
  }

  private fail (reason: string, isLocal = false): void {
    this.connectTimer?.cancel()
    if (this.isFinished) return
    this.isFinished = true
    this.listener.handleFailure(this.isConnected && !isLocal, reason, isLocal)
  }
}
