/**
 * Accepts calls of the OpenAI-compatible interface: completions over pipelines of sidecars, calls of plain services,
 * requests for idempotency keys that are bound to one process, and the list of models.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { KindError } from '@clementineloft/kernel'
import type { ProcessContext } from '../peers/process-context.js'
import { CallHost } from './call-host.js'
import type { AcceptedCall } from './call-host.js'
import type { CallerTeam, ApiKeyIndex } from './api-key-index.js'
import type { CallHead } from './caller-protocol.js'
import type { CompletionHandler } from './completion-handler.js'
import { CompletionForm } from './completion-request.js'
import { sendJson } from './http-server.js'
import type { ServiceHandler } from './service-handler.js'

type StartCall = AcceptedCall['start']

/** Accepts calls by method and path. */
export class ModelHost extends CallHost<CallHead> {
  constructor (
    private readonly context: ProcessContext,
    private readonly keys: ApiKeyIndex,
    private readonly completions: CompletionHandler,
    private readonly services: ServiceHandler,
    private readonly maxBodyBytes: number
  ) {
    super()
  }

  override accept (call: CallHead): AcceptedCall {
    if (this.context.replica.getRevision() === 0) {
      throw createError(ErrorKind.notReady, 'this instance has received no configuration yet, neither from the store nor from a peer')
    }
    const start = this.findHandler(call, this.keys.authenticate(call.key))
    return {
      maxBodyBytes: this.maxBodyBytes,
      start: async (body, request, response) => {
        if (this.context.isLeaving) response.setHeader('connection', 'close')
        await start(body, request, response)
      }
    }
  }

  override isLeaving (): boolean {
    return this.context.isLeaving
  }

  override recordRefusal (call: CallHead | undefined, { kind, message }: KindError): void {
    const { metrics, journal } = this.context
    metrics.count(`calls_refused_total{kind="${kind}"}`)
    journal.record({ name: 'call-refused', ...(call === undefined ? {} : { request: call.id }), detail: `${kind}: ${message}` })
  }

  override getRetryAfterMs (): undefined {
    return undefined
  }

  private findHandler (call: CallHead, team: CallerTeam): StartCall {
    const { method, target } = call
    if (method === 'GET' && target === '/v1/models') return (_body, _request, response) => { sendJson(response, 200, this.listModels()) }
    if (method === 'POST' && target === '/v1/chat/completions') return this.createCompletionHandler(CompletionForm.chat, team)
    if (method === 'POST' && target === '/v1/completions') return this.createCompletionHandler(CompletionForm.text, team)
    const ticketMatch = /^\/services\/([\w-]+)\/?:issue-key$/.exec(target)
    if (method === 'POST' && ticketMatch !== null) {
      return async (_body, _request, response) => { await this.services.issueTicket(team, ticketMatch[1] as string, response) }
    }
    const serviceMatch = /^\/services\/([\w-]+)(\/.*)$/.exec(target)
    if (serviceMatch === null) throw createError(ErrorKind.notFound, `no route matches "${method} ${target}"`)
    return async (body, request, response) => {
      await this.services.handle(team, serviceMatch[1] as string, serviceMatch[2] as string, body, request, response)
    }
  }

  private createCompletionHandler (form: CompletionForm, team: CallerTeam): StartCall {
    return (body, request, response) => { this.completions.handle(form, team, body, request, response) }
  }

  private listModels (): unknown {
    const models = Object.keys(this.context.replica.getDocument()?.models ?? {})
    return { object: 'list', data: models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'clementineloft' })) }
  }
}
