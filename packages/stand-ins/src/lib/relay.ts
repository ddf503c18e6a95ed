/**
 * A relay in front of a process, to cut its link without ending either side.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** Passes bytes between callers and one address until it is cut. */
export class Relay {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private isCut = false

  /**
   * @param port - port to listen on
   * @param target - port to pass on to
   */
  constructor (port: number, target: number) {
    this.server = createServer((incoming) => {
      const outgoing = connect(target, '127.0.0.1')
      for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
        this.sockets.add(from)
        from.on('data', (bytes) => { if (!this.isCut) to.write(bytes) })
        from.on('close', () => {
          this.sockets.delete(from)
          if (!this.isCut) to.destroy()
        })
        from.on('error', () => {})
      }
    })
    this.server.listen(port, '127.0.0.1')
  }

  /** Drops all bytes from now on and keeps the connections open, as a broken network does. */
  cut (): void {
    this.isCut = true
  }

  /** Ends all connections, after which new ones pass again. */
  heal (): void {
    this.isCut = false
    for (const socket of this.sockets) socket.destroy()
  }

  /** Stops listening. */
  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}
