/**
 * Shared functions of the HTTP servers: bounded request bodies, JSON answers, and problem documents (RFC 9457).
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import {
  createError, errorResponses, ErrorKind, getErrorKind, getErrorMessage, getErrorOutcome, Outcome
} from '@clementineloft/kernel'
import { AnswerWriter } from './answer-writer.js'
import { BodyReceiver } from './body-receiver.js'
import type { LocalAnswer } from './caller-protocol.js'

/** Maximum number of connections that wait to be accepted. */
const listenBacklog = 1024

/**
 * Starts listening.
 *
 * @param address - address to listen on, `ip:port`
 * @throws `settings-invalid` if the address cannot be used
 */
export const listenAt = (server: Server, address: string): Promise<void> => {
  const [host, port] = address.split(':') as [string, string]
  return new Promise((resolve, reject) => {
    server.once('error', (error) => {
      reject(createError(ErrorKind.settingsInvalid, `cannot listen on "${address}": ${error.message}`))
    })
    server.listen(Number(port), host, listenBacklog, resolve)
  })
}

/**
 * Reads a complete request body.
 *
 * @param request - the request
 * @param maxBytes - maximum length of the body in bytes
 * @throws `too-large` if the body is longer; `bad-request` if it is truncated or cannot be read; `overloaded` if memory is short
 */
export const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Buffer> => {
  const { bytes, account } = await new BodyReceiver(request, maxBytes).receive()
  account.release()
  return bytes
}

/**
 * Parses a JSON body.
 *
 * @throws `bad-request` if it is not valid JSON
 */
export const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch (error) {
    throw createError(ErrorKind.badRequest, `the request body is not valid JSON: ${getErrorMessage(error)}`)
  }
}

/** Sends a JSON answer. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {}
): void => {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.byteLength, ...headers })
  response.end(bytes)
}

/** Problem document that describes an error to a caller. */
export interface Problem {
  type: string
  title: string
  status: number
  detail: string
  kind: ErrorKind
  outcome: Outcome
}

/**
 * @param error - any thrown value
 * @returns the problem document for it; details of unexpected errors are omitted
 */
export const createProblem = (error: unknown): Problem => {
  const kind = getErrorKind(error)
  const { status, title } = errorResponses[kind]
  const detail = kind === ErrorKind.internal ? 'see the logs of the instance' : getErrorMessage(error)
  return { type: `urn:clementineloft:${kind}`, title, status, detail, kind, outcome: getErrorOutcome(error) }
}

/** @returns the answer to an error: its problem document, with `retry-after` if it did not run and may be retried */
export const createErrorAnswer = (error: unknown): LocalAnswer => {
  const problem = createProblem(error)
  const { retryAfterSeconds } = errorResponses[problem.kind]
  const canRetry = retryAfterSeconds !== undefined && problem.outcome === Outcome.notRun
  const headers = { 'content-type': 'application/problem+json', ...(canRetry ? { 'retry-after': String(retryAfterSeconds) } : {}) }
  return { status: problem.status, headers, body: JSON.stringify(problem) }
}

/**
 * Sends the answer to a request that failed with an error. Closes the connection if the request was not read
 * completely, and aborts an answer whose head has already been sent.
 */
export const sendError = (request: IncomingMessage, response: ServerResponse, error: unknown): void => {
  if (response.headersSent) {
    response.destroy()
    return
  }
  new AnswerWriter(response, () => false).sendLocalAnswer(createErrorAnswer(error), !request.complete)
}
