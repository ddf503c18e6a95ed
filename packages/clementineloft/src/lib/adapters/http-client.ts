/**
 * Calls over HTTP with Node's own client: kept connections, a time limit, and evidence whether a request was sent.
 */
import { Agent, request as openRequest } from 'node:http'
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { createError, ErrorKind, Outcome } from '@clementineloft/kernel'

/** A request to send. */
export interface HttpCall {
  method: string
  url: URL
  headers: OutgoingHttpHeaders
  body?: Uint8Array | undefined
  timeoutMs: number
  /** Longest body that is accepted, in bytes. */
  maxBodyBytes?: number
  /** Breaks the request off when it is aborted. */
  signal?: AbortSignal | undefined
}

/** A whole response. */
export interface HttpReply {
  status: number
  headers: IncomingHttpHeaders
  body: Buffer
}

const defaultMaxBodyBytes = 64 * 1024 * 1024
const connectFailures = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Sends requests over kept connections. */
export class HttpClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: Infinity })

  /**
   * Sends a request and reads the whole response.
   *
   * @param call - the request
   * @throws `endpoint-failed`: with outcome `not-run` if no connection was made, `unknown` otherwise; `deadline` with
   *   outcome `unknown` after the time limit
   */
  send (call: HttpCall): Promise<HttpReply> {
    return new Promise((resolve, reject) => {
      const fail = (message: string, cause?: NodeJS.ErrnoException): void => {
        const outcome = connectFailures.has(cause?.code ?? '') ? Outcome.notRun : Outcome.unknown
        reject(createError(ErrorKind.endpointFailed, `${call.method} ${call.url.origin}${call.url.pathname}: ${message}`, { outcome, cause }))
      }
      const headers = call.body === undefined ? call.headers : { ...call.headers, 'content-length': call.body.byteLength }
      const request = openRequest(call.url, { method: call.method, headers, agent: this.agent, signal: call.signal })
      const timer = setTimeout(() => {
        reject(createError(ErrorKind.deadline, `${call.method} ${call.url.origin}${call.url.pathname}: no answer within ${call.timeoutMs} ms`, {
          outcome: Outcome.unknown
        }))
        request.destroy()
      }, call.timeoutMs)
      request.on('close', () => { clearTimeout(timer) })
      request.on('error', (error) => { fail(error.message, error) })
      request.on('response', (response) => {
        const chunks: Buffer[] = []
        let bytes = 0
        response.on('data', (chunk: Buffer) => {
          bytes += chunk.byteLength
          chunks.push(chunk)
          if (bytes <= (call.maxBodyBytes ?? defaultMaxBodyBytes)) return
          fail('the response is too large')
          request.destroy()
        })
        response.on('aborted', () => { fail('the connection broke before the response was complete') })
        response.on('end', () => {
          resolve({ status: response.statusCode as number, headers: response.headers, body: Buffer.concat(chunks) })
        })
      })
      request.end(call.body)
    })
  }

  /**
   * Sends JSON and reads JSON.
   *
   * @param method - HTTP method
   * @param url - where to send it
   * @param body - value to send; `undefined` for none
   * @param timeoutMs - time limit in milliseconds
   * @param headers - more headers
   * @param signal - breaks the request off when it is aborted
   */
  async sendJson (
    method: string,
    url: URL,
    body: unknown,
    timeoutMs: number,
    headers: OutgoingHttpHeaders = {},
    signal?: AbortSignal
  ): Promise<HttpReply> {
    const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body))
    return await this.send({ method, url, headers: { 'content-type': 'application/json', ...headers }, body: bytes, timeoutMs, signal })
  }
}
