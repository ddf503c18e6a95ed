/**
 * A relay in front of a process, to harm its link without ending either side.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** What is wrong with a link. */
export const RelayFault = {
  none: 'none',
  /** All bytes are dropped and connections stay open, as on a broken network. */
  silent: 'silent',
  /** Bytes towards the process are dropped; its own pass. */
  deafened: 'deafened',
  /** Bytes from the process are dropped; those towards it pass. */
  muted: 'muted',
  /** All bytes arrive later. */
  delayed: 'delayed',
  /** Connections are reset as soon as a byte passes. */
  reset: 'reset'
} as const
export type RelayFault = typeof RelayFault[keyof typeof RelayFault]

/** One end of a relay. */
export interface RelayAddress {
  host: string
  port: number
}

const delayMs = 80

/** Passes bytes between callers and one address until its link is harmed. */
export class Relay {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private fault: RelayFault = RelayFault.none

  /**
   * @param listen - where callers connect
   * @param target - where to pass on to
   */
  constructor (listen: RelayAddress, target: RelayAddress) {
    this.server = createServer((incoming) => {
      const outgoing = connect(target.port, target.host)
      this.forward(incoming, outgoing, RelayFault.deafened)
      this.forward(outgoing, incoming, RelayFault.muted)
    })
    this.server.listen(listen.port, listen.host)
  }

  /** Harms the link from now on. */
  harm (fault: RelayFault): void {
    this.fault = fault
  }

  /** Ends all connections, after which new ones pass again. */
  heal (): void {
    this.fault = RelayFault.none
    for (const socket of this.sockets) socket.destroy()
  }

  /** Stops listening. */
  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** @param dropping - fault under which this direction loses its bytes */
  private forward (from: Socket, to: Socket, dropping: RelayFault): void {
    this.sockets.add(from)
    from.on('data', (bytes) => { this.deliver(bytes, from, to, dropping) })
    from.on('close', (hasFailed) => {
      this.sockets.delete(from)
      const isHidden = this.fault === RelayFault.silent || this.fault === dropping
      if (isHidden) return
      if (this.fault === RelayFault.delayed) setTimeout(() => { this.finish(to, hasFailed) }, delayMs)
      else this.finish(to, hasFailed)
    })
    from.on('error', () => { /* The close event follows. */ })
  }

  /** A reset stays a reset, since it tells that an answer without a length is not whole. */
  private finish (to: Socket, hasFailed: boolean): void {
    if (hasFailed) to.resetAndDestroy()
    else to.destroySoon()
  }

  private deliver (bytes: Buffer, from: Socket, to: Socket, dropping: RelayFault): void {
    if (this.fault === RelayFault.silent || this.fault === dropping) return
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
