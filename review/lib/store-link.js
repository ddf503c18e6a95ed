/**
 * Link between one machine and the store: a proxy that can be cut, so that bytes of either side go nowhere until it heals.
 */
import { connect, createServer } from 'node:net'

/** One link. */
export class StoreLink {
  /** @param host - host of the store; @param port - its port */
  constructor (host, port) {
    this.isCut = false
    this.sockets = new Set()
    this.server = createServer((near) => {
      const far = connect({ host, port })
      this.join(near, far)
      this.join(far, near)
    })
  }

  /** Listens for the machine. */
  async listen (host, port) {
    await new Promise((resolve) => { this.server.listen(port, host, resolve) })
  }

  /** Closes the link and all its connections. */
  close () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Cuts the link, or heals it. Connections that were open during a cut are reset when it heals. */
  setCut (isCut) {
    this.isCut = isCut
    if (isCut) return
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  join (from, to) {
    this.sockets.add(from)
    from.on('data', (chunk) => {
      if (!this.isCut) to.write(chunk)
    })
    from.on('error', () => { /* The close event follows. */ })
    from.on('close', () => {
      this.sockets.delete(from)
      if (!this.isCut) to.destroy()
    })
  }
}
