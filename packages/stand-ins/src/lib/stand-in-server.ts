/**
 * JSON server that the stand-ins share.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server } from 'node:http'

/** A request to a stand-in. */
export interface StandInRequest {
  method: string
  url: URL
  headers: IncomingMessage['headers']
  body: string
}

/** An answer of a stand-in. */
export interface StandInReply {
  status: number
  body?: unknown
  headers?: Record<string, string>
}

/** Answers a request; `null` closes the connection without an answer. */
export type StandInHandler = (request: StandInRequest) => Promise<StandInReply | null> | StandInReply | null

const readText = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}

/**
 * Starts a server on loopback.
 *
 * @param port - port to listen on; 0 for any
 * @param handler - answers requests
 */
export const startStandInServer = (port: number, handler: StandInHandler): Promise<Server> => {
  const answer = async (request: IncomingMessage, response: import('node:http').ServerResponse): Promise<void> => {
    const body = await readText(request)
    const url = new URL(request.url ?? '/', 'http://localhost')
    const reply = await handler({ method: request.method ?? 'GET', url, headers: request.headers, body })
    if (reply === null) {
      request.socket.destroy()
      return
    }
    response.writeHead(reply.status, { 'content-type': 'application/json', ...reply.headers })
    response.end(reply.body === undefined ? undefined : JSON.stringify(reply.body))
  }
  const server = createServer((request, response) => {
    answer(request, response).catch(() => { request.socket.destroy() })
  })
  return new Promise((resolve) => { server.listen(port, '127.0.0.1', () => { resolve(server) }) })
}
