/**
 * What emulated endpoints have in common: a call's head, the signature, and answers that go wrong.
 */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'

/** How an endpoint spoils an answer. */
export const Spoiling = {
  none: 'none',
  /** It runs the call and closes the connection without an answer. */
  lostAnswer: 'lost-answer',
  /** It answers without a length and resets the connection in the middle. */
  unframedReset: 'unframed-reset',
  /** It promises a length and ends before it. */
  shortBody: 'short-body',
  /** It sends the answer to another call. */
  crossed: 'crossed',
  /** It sends a second answer after the first. */
  extraAnswer: 'extra-answer',
  /** It answers with a failure of its own. */
  failure: 'failure',
  /** It runs the call and never answers. */
  hang: 'hang',
  /** It refuses as not run. */
  full: 'full'
} as const
export type Spoiling = typeof Spoiling[keyof typeof Spoiling]

/** A call as an endpoint sees it. */
export interface EmulatedCall {
  id: string
  method: string
  target: string
  body: string
  headers: IncomingMessage['headers']
  team: string | undefined
  expectedEndpoint: string | undefined
}

/** Reads a call to its end. */
export const readCall = async (request: IncomingMessage): Promise<EmulatedCall> => {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const { headers } = request
  return {
    id: String(headers['attempt-id'] ?? ''),
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    body: Buffer.concat(chunks).toString(),
    headers,
    team: headers['tenant'] as string | undefined,
    expectedEndpoint: headers['expect-instance'] as string | undefined
  }
}

/** @returns text that depends on all that is given and on nothing else */
export const computePiece = (...parts: Array<string | number>): string =>
  createHash('sha256').update(parts.join('\n')).digest('hex').slice(0, 40)

/** @returns the body that every plain endpoint gives to a call */
export const computeBody = (call: Pick<EmulatedCall, 'method' | 'target' | 'body'>): string =>
  computePiece(call.method, call.target, call.body)

/** @returns the event that every model endpoint makes at a position of a stream, from 1 */
export const computeEvent = (call: Pick<EmulatedCall, 'target' | 'body'>, position: number): string =>
  `id: ${position}\ndata: ${computePiece(call.target, call.body, position)}\n\n`

/** Refuses a call as not run. */
export const refuse = (response: ServerResponse, call: EmulatedCall, status: number, headers: Record<string, string> = {}): void => {
  response.writeHead(status, { 'Attempt-Id': call.id, 'Not-Executed': '1', 'content-length': 0, ...headers })
  response.end()
}
