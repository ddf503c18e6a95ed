/**
 * TCP proxy whose open connections can go silent for good, without a reset, while new ones work.
 */
import { connect, createServer } from 'node:net'

/** Forwards connections to one address. */
export class SilencingProxy {
  #pairs = new Set()
  #server

  constructor (target) {
    this.#server = createServer((incoming) => { this.#open(incoming, target) })
  }

  async listen (host, port) {
    await new Promise((resolve) => { this.#server.listen(port, host, resolve) })
  }

  /** Silences all connections that are open now. @returns number of them */
  silence () {
    for (const pair of this.#pairs) pair.isSilent = true
    return this.#pairs.size
  }

  close () {
    this.#server.close()
    for (const { incoming, outgoing } of this.#pairs) {
      incoming.destroy()
      outgoing.destroy()
    }
  }

  #open (incoming, { host, port }) {
    const outgoing = connect(port, host)
    const pair = { incoming, outgoing, isSilent: false }
    this.#pairs.add(pair)
    this.#forward(pair, incoming, outgoing)
    this.#forward(pair, outgoing, incoming)
  }

  #forward (pair, from, to) {
    from.setNoDelay(true)
    from.on('data', (bytes) => { if (!pair.isSilent) to.write(bytes) })
    from.on('error', () => { /* The close event follows. */ })
    from.on('close', () => {
      if (from === pair.incoming) this.#pairs.delete(pair)
      if (!pair.isSilent) to.destroy()
      else if (from === pair.incoming) pair.outgoing.destroy()
    })
  }
}
