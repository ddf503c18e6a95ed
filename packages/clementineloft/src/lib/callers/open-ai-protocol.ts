/**
 * The OpenAI-compatible interface towards callers: keys as bearer tokens, errors as problem documents (RFC 9457).
 */
import type { IncomingMessage } from 'node:http'
import { createIdentifier } from '@clementineloft/kernel'
import type { KindError } from '@clementineloft/kernel'
import { CallerProtocol } from './caller-protocol.js'
import type { CallHead, OwnAnswer } from './caller-protocol.js'
import { createErrorAnswer } from './http-server.js'

/** Translates requests and refusals. */
export class OpenAiProtocol extends CallerProtocol<CallHead> {
  override readCall (request: IncomingMessage): CallHead {
    const { method = '', url: target = '/' } = request
    const key = /^Bearer (\S+)$/i.exec(request.headers.authorization ?? '')?.[1]
    const queryStart = target.indexOf('?')
    return {
      id: createIdentifier(),
      method,
      target,
      path: queryStart === -1 ? target : target.slice(0, queryStart),
      ...(key === undefined ? {} : { key })
    }
  }

  override createAnswer (_call: CallHead | undefined, error: KindError): OwnAnswer {
    return createErrorAnswer(error)
  }

  /** Readiness is asked of the admin server. */
  override isReadinessQuestion (): boolean {
    return false
  }
}
