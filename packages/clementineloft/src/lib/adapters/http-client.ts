/**
 * HTTP client on top of Node's own one, with persistent connections and a timeout. Its errors tell whether a connection
 * was established, so that a caller knows whether the request can have run.
 */
import { Agent, request as openRequest } from 'node:http'
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { createError, ErrorKind, Outcome } from '@clementineloft/kernel'
import { ResetDetector } from './reset-detector.js'

/** A request to send. */
export interface HttpCall {
  method: string
  url: URL
  headers: OutgoingHttpHeaders
  body?: Uint8Array | undefined
  timeoutMs: number
  /** Maximum size of the response body, in bytes. */
  maxBodyBytes?: number
  /** Cancels the request when it is aborted. */
  signal?: AbortSignal | undefined
}

/** A complete response. */
export interface HttpReply {
  status: number
  headers: IncomingHttpHeaders
  body: Buffer
}

const defaultMaxBodyBytes = 64 * 1024 * 1024
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Sends requests over persistent connections. */
export class HttpClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: Infinity })

  /**
   * Sends a request and reads the complete response.
   *
   * @param call - the request
   * @throws `endpoint-failed`: with outcome `not-run` if no connection was made, `unknown` otherwise; `deadline` with
   *   outcome `unknown` after the time limit
   */
  send (call: HttpCall): Promise<HttpReply> {
    return new Promise((resolve, reject) => {
      const fail = (message: string, cause?: NodeJS.ErrnoException): void => {
        const outcome = connectErrorCodes.has(cause?.code ?? '') ? Outcome.notRun : Outcome.unknown
        reject(createError(ErrorKind.endpointFailed, `${call.method} ${call.url.origin}${call.url.pathname}: ${message}`, { outcome, cause }))
      }
      const headers = call.body === undefined ? call.headers : { ...call.headers, 'content-length': call.body.byteLength }
      const request = openRequest(call.url, { method: call.method, headers, agent: this.agent, signal: call.signal })
      const resets = new ResetDetector(request)
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
          fail('response body exceeds the size limit')
          request.destroy()
        })
        response.on('aborted', () => { fail('connection closed before the response was complete') })
        response.on('end', () => {
          if (resets.hasBeenReset()) fail('connection reset before the response was complete')
          else resolve({ status: response.statusCode as number, headers: response.headers, body: Buffer.concat(chunks) })
        })
      })
      request.end(call.body)
    })
  }

  /**
   * Sends a request with a JSON body and reads the complete response, which is not parsed.
   *
   * @param method - HTTP method
   * @param url - URL of the request
   * @param body - value to send as JSON; `undefined` for no body
   * @param timeoutMs - time limit in milliseconds
   * @param headers - additional headers
   * @param signal - cancels the request when it is aborted
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
