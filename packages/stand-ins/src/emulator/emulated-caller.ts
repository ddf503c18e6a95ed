/**
 * HTTP client of the emulated platform. Besides status and body, it records whether the answer ended as its framing
 * announced and how long the longest pause between two chunks was.
 */
import { request as openRequest } from 'node:http'
import type { Agent, IncomingHttpHeaders } from 'node:http'
import { createIdentifier } from '@clementineloft/kernel'
import { ResetDetector } from 'clementineloft/internals'

/** A call to send. */
export interface CallerRequest {
  address: string
  method?: string
  host: string
  target: string
  key?: string
  body?: string
  timeoutMs?: number
  headers?: Record<string, string>
  /** Agent with the keep-alive connections to use; a new connection if absent. */
  agent?: Agent
  /** Time after which the caller closes the connection, in milliseconds. */
  disconnectAfterMs?: number
  /** Time from the head of the request to its body, in milliseconds. */
  bodyDelayMs?: number
  /** Receives each chunk of the body as it arrives. */
  handleChunk?: (chunk: string) => void
}

/** The answer to a call. */
export interface CallerAnswer {
  id: string
  /** Status code; 0 if no answer arrived. */
  status: number
  headers: IncomingHttpHeaders
  body: string
  /** Whether the answer ended as its framing announced. */
  isComplete: boolean
  /** Longest pause between two chunks, in milliseconds. */
  longestPauseMs: number
}

/** Sends one call. Connection failures are reported in the answer; the promise does not reject. */
export const sendCall = (call: CallerRequest): Promise<CallerAnswer> => new Promise((resolve) => {
  const [host, port] = call.address.split(':') as [string, string]
  const id = createIdentifier()
  const body = call.body ?? ''
  const answer: CallerAnswer = { id, status: 0, headers: {}, body: '', isComplete: false, longestPauseMs: 0 }
  const outgoing = openRequest({
    host,
    port: Number(port),
    method: call.method ?? 'POST',
    path: call.target,
    agent: call.agent ?? false,
    headers: {
      host: call.host,
      'attempt-id': id,
      'deadline-ms': String(call.timeoutMs ?? 5000),
      ...(call.key === undefined ? {} : { authorization: `Bearer ${call.key}` }),
      ...(body === '' ? {} : { 'content-length': Buffer.byteLength(body) }),
      ...call.headers
    }
  })
  const resets = new ResetDetector(outgoing)
  outgoing.on('response', (response) => {
    answer.status = response.statusCode ?? 0
    answer.headers = response.headers
    let lastChunkMs = performance.now()
    response.on('data', (chunk: Buffer) => {
      const nowMs = performance.now()
      answer.longestPauseMs = Math.max(answer.longestPauseMs, nowMs - lastChunkMs)
      lastChunkMs = nowMs
      answer.body += chunk.toString()
      call.handleChunk?.(chunk.toString())
    })
    response.on('error', () => { /* The close event follows. */ })
    response.on('close', () => {
      answer.isComplete = response.complete && !resets.hasBeenReset()
      resolve(answer)
    })
  })
  outgoing.on('error', () => { resolve(answer) })
  if (call.bodyDelayMs === undefined) {
    outgoing.end(body)
  } else {
    outgoing.flushHeaders()
    setTimeout(() => { outgoing.end(body) }, call.bodyDelayMs)
  }
  if (call.disconnectAfterMs !== undefined) setTimeout(() => { outgoing.destroy() }, call.disconnectAfterMs)
})
