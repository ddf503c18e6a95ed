/**
 * Parts of the HTTP servers: bounded bodies, JSON answers, and problem documents (RFC 9457).
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  createError, errorAnswers, ErrorKind, getErrorKind, getErrorMessage, getErrorOutcome, Outcome
} from '@clementineloft/kernel'

/**
 * Reads a whole body.
 *
 * @param request - the request
 * @param maxBytes - longest body that is accepted, in bytes
 * @throws `too-large` or `bad-request`
 */
export const readBody = (request: IncomingMessage, maxBytes: number): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.byteLength
      if (bytes <= maxBytes) {
        chunks.push(chunk)
        return
      }
      request.pause()
      reject(createError(ErrorKind.tooLarge, `the body is longer than ${maxBytes} bytes`))
    })
    request.on('end', () => { resolve(Buffer.concat(chunks)) })
    request.on('aborted', () => { reject(createError(ErrorKind.badRequest, 'the body was cut off')) })
    request.on('error', (error) => { reject(createError(ErrorKind.badRequest, 'the body could not be read', { cause: error })) })
  })

/**
 * Parses a JSON body.
 *
 * @throws `bad-request` if it is not valid JSON
 */
export const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch (error) {
    throw createError(ErrorKind.badRequest, `the body is not valid JSON: ${getErrorMessage(error)}`)
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

/** What a caller is told of an error. */
export interface Problem {
  type: string
  title: string
  status: number
  detail: string
  kind: ErrorKind
  outcome: Outcome
}

/**
 * @param error - anything that was thrown
 * @returns the problem document for it; details of unexpected errors are left out
 */
export const createProblem = (error: unknown): Problem => {
  const kind = getErrorKind(error)
  const { status, title } = errorAnswers[kind]
  const detail = kind === ErrorKind.internal ? 'see the logs of the instance' : getErrorMessage(error)
  return { type: `urn:clementineloft:${kind}`, title, status, detail, kind, outcome: getErrorOutcome(error) }
}

/** Sends the answer that belongs to an error, and closes the connection if the request was not read to its end. */
export const sendError = (request: IncomingMessage, response: ServerResponse, error: unknown): void => {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const problem = createProblem(error)
  const { retryAfterSeconds } = errorAnswers[problem.kind]
  const canRetry = retryAfterSeconds !== undefined && problem.outcome === Outcome.notRun
  sendJson(response, problem.status, problem, {
    'content-type': 'application/problem+json',
    ...(canRetry ? { 'retry-after': String(retryAfterSeconds) } : {}),
    ...(request.complete ? {} : { connection: 'close' })
  })
}
