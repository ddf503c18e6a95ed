/**
 * Pool of persistent connections to endpoints that drops a connection on which bytes arrive while no call uses it.
 *
 * Addresses faulty endpoints that send a second answer late: on a connection that is in use again, its bytes would be taken
 * for the answer to the next call.
 */
import { Agent } from 'node:http'
import type { ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'

/** Maximum number of idle connections kept to each endpoint. */
const maxIdleConnections = 8

/** Keeps connections for reuse, the most recently used first. */
export class EndpointAgent extends Agent {
  private readonly idleListeners = new WeakMap<Duplex, () => void>()

  constructor () {
    super({ keepAlive: true, maxFreeSockets: maxIdleConnections, scheduling: 'lifo' })
  }

  /** Called by Node when a connection becomes idle. @returns whether to keep it */
  override keepSocketAlive (socket: Duplex): boolean {
    // The base class returns false for a connection whose endpoint is about to close it.
    const mustClose = (super.keepSocketAlive(socket) as unknown) === false
    if (mustClose || socket.readableLength > 0) return false
    const drop = (): void => { socket.destroy() }
    this.idleListeners.set(socket, drop)
    socket.on('data', drop)
    socket.resume()
    return true
  }

  /** Called by Node before a call uses an idle connection. */
  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    const drop = this.idleListeners.get(socket)
    if (drop !== undefined) socket.off('data', drop)
    super.reuseSocket(socket, request)
  }
}
