/**
 * The OpenAI-compatible protocol: API keys are bearer tokens, errors are problem documents (RFC 9457).
 */
import type { IncomingMessage } from 'node:http'
import { createIdentifier } from '@clementineloft/kernel'
import type { KindError } from '@clementineloft/kernel'
import { CallerProtocol } from './caller-protocol.js'
import type { CallHead, LocalAnswer } from './caller-protocol.js'
import { createErrorAnswer } from './http-server.js'

/** Translates requests and refusals of the OpenAI-compatible protocol. */
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

  override createAnswer (_call: CallHead | undefined, error: KindError): LocalAnswer {
    return createErrorAnswer(error)
  }

  /** Always false: the admin server answers readiness requests. */
  override isReadinessRequest (): boolean {
    return false
  }
}
