/**
 * TCP relay in front of a process, which injects network faults without stopping either side.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** Faults of a link. */
export const RelayFault = {
  none: 'none',
  /** All bytes are dropped and connections stay open, as in a network partition. */
  silent: 'silent',
  /** Bytes to the process are dropped; bytes from it are forwarded. */
  deafened: 'deafened',
  /** Bytes from the process are dropped; bytes to it are forwarded. */
  muted: 'muted',
  /** All bytes are delayed. */
  delayed: 'delayed',
  /** Connections are reset when the first byte arrives. */
  reset: 'reset'
} as const
export type RelayFault = typeof RelayFault[keyof typeof RelayFault]

/** Address of one side of a relay. */
export interface RelayAddress {
  host: string
  port: number
}

const delayMs = 80

/** Forwards bytes between callers and one address, subject to the current fault. */
export class Relay {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private fault: RelayFault = RelayFault.none

  /**
   * @param listen - address for callers
   * @param target - address to forward to
   */
  constructor (listen: RelayAddress, target: RelayAddress) {
    this.server = createServer((incoming) => {
      const outgoing = connect(target.port, target.host)
      this.forward(incoming, outgoing, RelayFault.deafened)
      this.forward(outgoing, incoming, RelayFault.muted)
    })
    this.server.listen(listen.port, listen.host)
  }

  /** Applies a fault to existing and new connections. */
  setFault (fault: RelayFault): void {
    this.fault = fault
  }

  /** Removes the fault and closes all connections; new ones are forwarded normally. */
  clearFault (): void {
    this.fault = RelayFault.none
    for (const socket of this.sockets) socket.destroy()
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** @param droppingFault - fault under which bytes in this direction are dropped */
  private forward (from: Socket, to: Socket, droppingFault: RelayFault): void {
    this.sockets.add(from)
    from.on('data', (bytes) => { this.deliver(bytes, from, to, droppingFault) })
    let isReset = false
    // A reset that arrives with the last bytes is reported as an end; the connection has no peer any more then.
    from.prependListener('end', () => { isReset = from.remoteAddress === undefined })
    from.on('close', (hadError) => {
      this.sockets.delete(from)
      const isSuppressed = this.fault === RelayFault.silent || this.fault === droppingFault
      if (isSuppressed) return
      if (this.fault === RelayFault.delayed) setTimeout(() => { this.finish(to, hadError || isReset) }, delayMs)
      else this.finish(to, hadError || isReset)
    })
    from.on('error', () => { /* The close event follows. */ })
  }

  /** Forwards a reset as a reset: an answer without Content-Length that ends normally would look complete. */
  private finish (to: Socket, wasReset: boolean): void {
    if (wasReset) to.resetAndDestroy()
    else to.destroySoon()
  }

  private deliver (bytes: Buffer, from: Socket, to: Socket, droppingFault: RelayFault): void {
    if (this.fault === RelayFault.silent || this.fault === droppingFault) return
    if (this.fault === RelayFault.reset) {
      from.resetAndDestroy()
      to.resetAndDestroy()
    } else if (this.fault === RelayFault.delayed) {
      setTimeout(() => { to.write(bytes) }, delayMs)
    } else {
      to.write(bytes)
    }
  }
}
