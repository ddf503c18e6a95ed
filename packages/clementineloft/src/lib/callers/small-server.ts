/**
 * Servers for readiness, metrics and operators: few short requests, most of them without a body.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { ConnectionLimiter, connectionCheckMs } from './connection-limiter.js'

/** Maximum number of connections of one such server. */
const maxConnections = 12
/** Time for which a request may be received, in milliseconds. */
const requestTimeoutMs = 5000
const maxHeaderBytes = 16_384

/** @returns whether a request has a body */
const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0

/**
 * @param handle - handles each request
 * @param acceptsBodies - whether requests may have a body; otherwise the connection is closed instead of reading it
 * @returns a server with limits, which is not listening yet
 */
export const createSmallServer = (handle: RequestListener, acceptsBodies = false): Server => {
  const server = createServer({ maxHeaderSize: maxHeaderBytes, connectionsCheckingInterval: connectionCheckMs }, (request: IncomingMessage, response: ServerResponse) => {
    if (!limiter.begin(request, response)) return
    if (!acceptsBodies && hasBody(request)) {
      response.shouldKeepAlive = false
      response.on('finish', () => { request.socket.destroy() })
    }
    handle(request, response)
  })
  const limiter = new ConnectionLimiter(server)
  limiter.applyLimit(maxConnections)
  server.headersTimeout = server.requestTimeout = requestTimeoutMs
  return server
}
