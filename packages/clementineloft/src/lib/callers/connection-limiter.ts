/**
 * Limits the connections of a server: beyond the limit, the connection without a request that is idle longest is closed,
 * first one of the address that has most. If none is idle, the connection whose request body has been arriving for longest is
 * closed; its request has not run.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { processMemory } from './process-memory.js'

/** Number of requests in progress on one connection above which it is not read. */
const pausePipelined = 16
/** The same, above which it is closed. */
const maxPipelined = 64
/** Descriptors that the process itself, the store and the other ports need. */
const reservedFds = 32
/** Connections that may be accepted beyond the limit, before those that make room for them are closed. */
const acceptMargin = 8
/** Time between two checks of the time limits of connections, in milliseconds. */
export const connectionCheckMs = 1000

/** @returns maximum number of connections of callers for a number of descriptors; as many are left for endpoints */
export const computeMaxConnections = (maxFds: number): number => Math.max(1, Math.floor((maxFds - reservedFds) / 2))

/** Closes a pipelined answer whose turn had not come when its connection closed; the runtime reports no end of it. */
const closeUnassigned = (response: ServerResponse): void => {
  if (response.socket !== null || response.writableFinished || response.closed) return
  response.destroy()
  response.emit('close')
}

/** Follows the connections of one server. */
export class ConnectionLimiter {
  /** Number of requests in progress by connection; the one that became idle first is first. */
  private readonly connections = new Map<Socket, number>()
  /** Latest request on each connection. */
  private readonly requests = new WeakMap<Socket, IncomingMessage>()
  private maxConnections = Infinity

  constructor (private readonly server: Server) {
    server.on('connection', (socket: Socket) => { this.accept(socket) })
  }

  /** Applies a maximum number of connections. */
  applyLimit (maxConnections: number): void {
    this.maxConnections = maxConnections
    // Some more are accepted, for each of which another one is closed.
    this.server.maxConnections = maxConnections + acceptMargin
  }

  /**
   * Counts a request until its answer has ended.
   *
   * @returns whether it may be handled; otherwise its connection has been closed
   */
  begin (request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request
    if (socket.destroyed) return false
    const running = (this.connections.get(socket) ?? 0) + 1
    if (running > maxPipelined) {
      processMemory.count('closings', 'pipelining')
      socket.destroy()
      return false
    }
    this.requests.set(socket, request)
    if (running === 1) this.connections.delete(socket)
    this.connections.set(socket, running)
    if (running === pausePipelined) socket.on('resume', this.hold)
    if (running >= pausePipelined) socket.pause()
    const closeWaiting = (): void => { closeUnassigned(response) }
    socket.once('close', closeWaiting)
    response.on('close', () => {
      socket.off('close', closeWaiting)
      this.end(socket)
    })
    return true
  }

  private readonly hold = function (this: Socket): void { this.pause() }

  private end (socket: Socket): void {
    const running = (this.connections.get(socket) ?? 0) - 1
    if (running < 0) return
    this.connections.delete(socket)
    this.connections.set(socket, running)
    if (running !== pausePipelined - 1) return
    socket.off('resume', this.hold)
    socket.resume()
  }

  private accept (socket: Socket): void {
    // One listener for each pipelined request.
    socket.setMaxListeners(0)
    this.connections.set(socket, 0)
    socket.once('close', () => { this.connections.delete(socket) })
    if (this.connections.size <= this.maxConnections) return
    processMemory.count('closings', 'connections')
    const closed = this.findIdle(socket) ?? this.findReceiving() ?? socket
    this.connections.delete(closed)
    closed.destroy()
  }

  /** @returns the connection whose only request has been arriving for longest; `undefined` if all requests are complete */
  private findReceiving (): Socket | undefined {
    return [...this.connections].find(([socket, running]) => running === 1 && this.requests.get(socket)?.complete === false)?.[0]
  }

  /** @returns the connection that has been idle for longest, of the address with most idle ones; `undefined` if no other is idle */
  private findIdle (accepted: Socket): Socket | undefined {
    const counts = new Map<string, number>()
    const idle = [...this.connections].filter(([socket, running]) => running === 0 && socket !== accepted).map(([socket]) => socket)
    for (const { remoteAddress = '' } of idle) counts.set(remoteAddress, (counts.get(remoteAddress) ?? 0) + 1)
    const most = Math.max(...counts.values())
    return idle.find(({ remoteAddress = '' }) => counts.get(remoteAddress) === most)
  }
}
