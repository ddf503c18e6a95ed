/**
 * One call to one endpoint over HTTP: opens or reuses a connection, bounds the waits, and reports how it ended with the
 * evidence for it.
 */
import { Agent, request as openRequest } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { getErrorMessage } from '@clementineloft/kernel'
import type { Clock, Timer } from '@clementineloft/kernel'

/** A call to send. */
export interface ExchangeRequest {
  method: string
  target: string
  /** Host and port. */
  address: string
  /** Names and values by turns, with the length of the body. */
  headers: string[]
  body: Buffer
  /** Whether it must not share a connection with earlier calls, whose late answers could be taken for its own. */
  needsFreshConnection: boolean
  /** Longest time to set up a connection, in milliseconds. */
  connectTimeoutMs: number
}

/** Receives what happens, in order: at most one head, then body, then exactly one end. */
export interface ExchangeListener {
  handleHead (response: IncomingMessage): void
  /**
   * @param wasSent - false if the call never left this process
   * @param reason - what went wrong
   */
  handleFailure (wasSent: boolean, reason: string): void
}

/** Idle connections kept to each endpoint. */
const maxIdleConnections = 8

/** Opens exchanges over connections that are kept. */
export class EndpointExchanges {
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: maxIdleConnections, scheduling: 'lifo' })

  constructor (private readonly clock: Clock) {}

  /** Sends a call. */
  open (request: ExchangeRequest, listener: ExchangeListener): EndpointExchange {
    return new EndpointExchange(request, request.needsFreshConnection ? false : this.agent, this.clock, listener)
  }

  /** Closes idle connections. */
  close (): void {
    this.agent.destroy()
  }
}

/** One call on its way. */
export class EndpointExchange {
  private readonly outgoing: ClientRequest
  private isConnected = false
  private isFinished = false
  private isReset = false
  private connectTimer: Timer | undefined

  constructor (
    request: ExchangeRequest,
    agent: Agent | false,
    clock: Clock,
    private readonly listener: ExchangeListener
  ) {
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
    this.outgoing.on('socket', (socket) => { this.watchConnection(socket, request.connectTimeoutMs, clock) })
    this.outgoing.on('response', (response) => { this.acceptResponse(response) })
    this.outgoing.on('error', (error) => { this.fail(getErrorMessage(error)) })
    this.outgoing.on('close', () => { this.fail('the connection was closed without an answer') })
    this.outgoing.end(request.body)
  }

  /** Closes the connection, so that the endpoint stops working on the call. */
  cancel (): void {
    this.isFinished = true
    this.connectTimer?.cancel()
    this.outgoing.destroy()
  }

  /** @returns whether the connection was reset; an answer without a length then only looks complete */
  hasBeenReset (): boolean {
    return this.isReset
  }

  private watchConnection (socket: Socket, timeoutMs: number, clock: Clock): void {
    socket.setNoDelay(true)
    const recordReset = (): void => { this.isReset = true }
    // Before the parser's own listener, which takes an error for the end of an answer without a length.
    socket.prependListener('error', recordReset)
    this.outgoing.once('close', () => { socket.off('error', recordReset) })
    if (!socket.connecting) {
      this.isConnected = true
      return
    }
    socket.once('connect', () => {
      this.isConnected = true
      this.connectTimer?.cancel()
    })
    this.connectTimer = clock.schedule(timeoutMs, () => {
      this.fail(`no connection within ${timeoutMs} ms`)
      this.outgoing.destroy()
    })
  }

  private acceptResponse (response: IncomingMessage): void {
    if (this.isFinished) {
      response.resume()
      return
    }
    this.isFinished = true
    response.on('error', () => { /* The listener sees an incomplete response. */ })
    this.listener.handleHead(response)
  }

  private fail (reason: string): void {
    this.connectTimer?.cancel()
    if (this.isFinished) return
    this.isFinished = true
    this.listener.handleFailure(this.isConnected, reason)
  }
}
