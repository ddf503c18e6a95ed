/**
 * Shared parts of the emulated endpoints: parsing of a call, deterministic answers, and the faults of an answer.
 *
 * The content of an answer is a hash of the call, so that a caller detects lost, repeated or misrouted bytes by comparing
 * the answer with its own computation.
 */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'

/** Faults that an endpoint injects into an answer. */
export const AnswerFault = {
  none: 'none',
  /** The call is executed and the connection closed without an answer. */
  lostAnswer: 'lost-answer',
  /** The answer has no Content-Length and the connection is reset before its end. */
  unframedReset: 'unframed-reset',
  /** The same, with the reset right behind the last bytes. */
  unframedResetAtOnce: 'unframed-reset-at-once',
  /** The connection ends before the announced Content-Length is reached. */
  shortBody: 'short-body',
  /** The answer carries the identity of another call. */
  crossed: 'crossed',
  /** A success whose signature header is spoiled by one byte. */
  unsigned: 'unsigned',
  /** A second, unsolicited answer follows the first on the same connection. */
  extraAnswer: 'extra-answer',
  /** The endpoint answers with status 500. */
  failure: 'failure',
  /** The call is executed and never answered. */
  hang: 'hang',
  /** The call is refused with status 503 as not executed. */
  full: 'full',
  /** Header lines without end, until the caller closes. */
  endlessHead: 'endless-head',
  /** An error answer whose body never ends, until the caller closes. */
  endlessFailure: 'endless-failure',
  /** A success whose body comes in chunks of one byte without end, until the caller closes. */
  endlessBody: 'endless-body',
  /** A success whose body comes in large chunks without end, as fast as the caller reads, until the caller closes. */
  endlessLargeBody: 'endless-large-body'
} as const
export type AnswerFault = typeof AnswerFault[keyof typeof AnswerFault]

/** A call as an endpoint receives it. */
export interface EmulatedCall {
  id: string
  method: string
  target: string
  body: string
  headers: IncomingMessage['headers']
  team: string | undefined
  expectedEndpoint: string | undefined
}

/** Calls that crash every endpoint that begins to answer them. */
export class CrashTriggers {
  /** Bodies of such calls. */
  readonly bodies = new Set<string>()
  /** Identities of prompt parts that make a call such a one. */
  readonly parts = new Set<string>()
  /** Whether the endpoint of the last part of the path crashes instead of the one of the first. */
  concernsLastPart = false
  /** Time from a crash to the start of the next incarnation, in milliseconds. */
  restartMs = 1000
  /** Whether the platform has stopped, so that no endpoint starts again. */
  isStopped = false

  /** @returns whether the call crashes the endpoint that begins to answer it */
  isTriggeredBy (call: EmulatedCall): boolean {
    const parts = String(call.headers['prompt-prefix'] ?? '').split(',').map((entry) => entry.split(':', 1)[0] as string)
    return this.bodies.has(call.body) || parts.some((part) => this.parts.has(part))
  }

  /** Schedules the next incarnation of an endpoint that has crashed. */
  scheduleRestart (start: () => Promise<void>): void {
    setTimeout(() => {
      if (!this.isStopped) void start()
    }, this.restartMs).unref()
  }
}

/** Reads the header and the complete body of a call. */
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

/** @returns a hexadecimal digest that is determined by the arguments alone */
export const computeDigestText = (...parts: Array<string | number>): string =>
  createHash('sha256').update(parts.join('\n')).digest('hex').slice(0, 40)

/** @returns the body with which every endpoint of a plain service answers a call */
export const computeBody = (call: Pick<EmulatedCall, 'method' | 'target' | 'body'>): string =>
  computeDigestText(call.method, call.target, call.body)

/**
 * @param idSuffix - text at the end of the event's id
 * @returns the event that every model endpoint sends at a position of a stream, starting at 1
 */
export const computeEvent = (call: Pick<EmulatedCall, 'target' | 'body'>, position: number, idSuffix = ''): string =>
  `id: ${position}${idSuffix}\ndata: ${computeDigestText(call.target, call.body, position)}\n\n`

/** Refuses a call and marks it as not executed. */
export const refuse = (response: ServerResponse, call: EmulatedCall, status: number, headers: Record<string, string> = {}): void => {
  response.writeHead(status, { 'Attempt-Id': call.id, 'Not-Executed': '1', 'content-length': 0, ...headers })
  response.end()
}
