/**
 * Finds out whether an endpoint has ended, by opening a connection to it.
 *
 * Addresses lost connections: an endpoint that resets a connection, or closes it without an answer, may well be running,
 * while one that has ended refuses connections until it has started again.
 */
import { connect } from 'node:net'
import type { Clock } from '@clementineloft/kernel'

/** Timeout of a probe, in milliseconds. An endpoint that neither accepts nor refuses is not known to have ended. */
const probeTimeoutMs = 400
/** Error of a connection attempt to an address at which nothing listens. */
const refusedCode = 'ECONNREFUSED'

/** Probes endpoints, each by one connection at a time. */
export class ListenProbe {
  private readonly pending = new Map<string, Promise<boolean>>()

  constructor (private readonly clock: Clock) {}

  /**
   * @param address - host and port of the endpoint
   * @returns whether nothing listens there any more; false if that is unknown
   */
  isClosed (address: string): Promise<boolean> {
    const pending = this.pending.get(address)
    if (pending !== undefined) return pending
    const probe = this.probe(address).finally(() => { this.pending.delete(address) })
    this.pending.set(address, probe)
    return probe
  }

  private probe (address: string): Promise<boolean> {
    const separator = address.lastIndexOf(':')
    return new Promise((resolve) => {
      const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
      const timer = this.clock.schedule(probeTimeoutMs, () => { finish(false) })
      const finish = (isClosed: boolean): void => {
        timer.cancel()
        socket.destroy()
        resolve(isClosed)
      }
      socket.once('connect', () => { finish(false) })
      socket.once('error', (error: NodeJS.ErrnoException) => { finish(error.code === refusedCode) })
    })
  }
}
