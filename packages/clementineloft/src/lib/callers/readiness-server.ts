/**
 * Answers the platform's question whether an entry wants new connections, at an address of its own.
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { CallerProtocol, CallHead } from './caller-protocol.js'
import { listenAt } from './http-server.js'

/** Serves the readiness of one process. */
export class ReadinessServer<Call extends CallHead> {
  private readonly server: Server

  /** @param isReady - whether new connections are wanted */
  constructor (protocol: CallerProtocol<Call>, isReady: () => boolean) {
    this.server = createServer((request, response) => {
      const isReadinessRequest = protocol.isReadinessQuestion(request.url ?? '', request.headers)
      response.writeHead(isReadinessRequest ? (isReady() ? 200 : 503) : 404, { 'content-length': 0 })
      response.end()
    })
  }

  /** Listens for questions. */
  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  /** Ends listening and closes everything. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
