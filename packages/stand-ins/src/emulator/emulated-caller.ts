/**
 * A caller of the platform: sends calls and says what came back, down to whether the answer was whole.
 */
import { request as openRequest } from 'node:http'
import type { Agent, IncomingHttpHeaders } from 'node:http'
import { createIdentifier } from '@clementineloft/kernel'

/** What a caller sends. */
export interface CallerRequest {
  address: string
  method?: string
  host: string
  target: string
  key?: string
  body?: string
  patienceMs?: number
  headers?: Record<string, string>
  /** Connections to use and keep; a connection of its own if absent. */
  agent?: Agent
  /** Ends the call after so many milliseconds, as a caller that leaves does. */
  leavesAfterMs?: number
  /** Receives each piece of the body as it arrives. */
  handlePiece?: (piece: string) => void
}

/** What a caller got. */
export interface CallerAnswer {
  id: string
  /** 0 if no answer came. */
  status: number
  headers: IncomingHttpHeaders
  body: string
  /** Whether the answer ended as its framing says. */
  isWhole: boolean
  /** Longest pause between two pieces, in milliseconds. */
  longestPauseMs: number
}

/** Sends one call. */
export const sendCall = (call: CallerRequest): Promise<CallerAnswer> => new Promise((resolve) => {
  const [host, port] = call.address.split(':') as [string, string]
  const id = createIdentifier()
  const body = call.body ?? ''
  const answer: CallerAnswer = { id, status: 0, headers: {}, body: '', isWhole: false, longestPauseMs: 0 }
  const outgoing = openRequest({
    host,
    port: Number(port),
    method: call.method ?? 'POST',
    path: call.target,
    agent: call.agent ?? false,
    headers: {
      host: call.host,
      'attempt-id': id,
      'deadline-ms': String(call.patienceMs ?? 5000),
      ...(call.key === undefined ? {} : { authorization: `Bearer ${call.key}` }),
      ...(body === '' ? {} : { 'content-length': Buffer.byteLength(body) }),
      ...call.headers
    }
  })
  outgoing.on('response', (response) => {
    answer.status = response.statusCode ?? 0
    answer.headers = response.headers
    let lastMs = performance.now()
    response.on('data', (piece: Buffer) => {
      const nowMs = performance.now()
      answer.longestPauseMs = Math.max(answer.longestPauseMs, nowMs - lastMs)
      lastMs = nowMs
      answer.body += piece.toString()
      call.handlePiece?.(piece.toString())
    })
    response.on('error', () => { /* The close event tells. */ })
    response.on('close', () => {
      answer.isWhole = response.complete
      resolve(answer)
    })
  })
  outgoing.on('error', () => { resolve(answer) })
  outgoing.end(body)
  if (call.leavesAfterMs !== undefined) setTimeout(() => { outgoing.destroy() }, call.leavesAfterMs)
})
