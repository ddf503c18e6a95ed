/**
 * Tells the platform whether an entry accepts new connections, at a separate address.
 */
import type { Server } from 'node:http'
import type { CallerProtocol, CallHead } from './caller-protocol.js'
import { listenAt } from './http-server.js'
import { createSmallServer } from './small-server.js'

/** Answers readiness requests with status 200 or 503, and all others with 404. */
export class ReadinessServer<Call extends CallHead> {
  private readonly server: Server

  /** @param isReady - whether the process accepts new connections */
  constructor (protocol: CallerProtocol<Call>, isReady: () => boolean) {
    this.server = createSmallServer((request, response) => {
      const isReadinessRequest = protocol.isReadinessRequest(request.url ?? '', request.headers)
      response.writeHead(isReadinessRequest ? (isReady() ? 200 : 503) : 404, { 'content-length': 0 })
      response.end()
    })
  }

  /** Listens for readiness requests. */
  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
