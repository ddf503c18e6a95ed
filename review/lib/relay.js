/**
 * Relay in front of one endpoint that can reset open connections towards the entries.
 */
import { connect, createServer } from 'node:net'

/** One relay. */
export class Relay {
  /** @param target - `host` and `port` of the endpoint */
  constructor (target) {
    /** Connections of callers with their connections to the endpoint. */
    this.pairs = new Map()
    this.server = createServer({ noDelay: true }, (near) => {
      const far = connect({ ...target, noDelay: true })
      this.pairs.set(near, far)
      this.join(near, far)
      this.join(far, near)
      near.on('close', () => { this.pairs.delete(near) })
    })
  }

  /** Listens at the address under which the endpoint is registered. */
  async listen (host, port) {
    await new Promise((resolve) => { this.server.listen(port, host, resolve) })
  }

  /** Resets a share of the open connections, drawn at random. @returns their number */
  resetConnections (share) {
    const chosen = [...this.pairs].filter(() => Math.random() < share)
    for (const [near, far] of chosen) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
    return chosen.length
  }

  /** Closes the relay and all its connections. */
  close () {
    this.server.close()
    for (const socket of [...this.pairs].flat()) socket.destroy()
  }

  join (from, to) {
    from.on('data', (chunk) => { to.write(chunk) })
    from.on('end', () => { to.end() })
    from.on('error', () => { to.destroy() })
    from.on('close', () => { if (!to.writableEnded) to.destroy() })
  }
}
