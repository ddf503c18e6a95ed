/**
 * The entry: answers callers over HTTP and drives their requests through sidecars.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createError, ErrorKind } from '@clementineloft/kernel'
import { KeyIndex } from './authenticate.js'
import { CallRouter } from './call-router.js'
import { CompletionHandler } from './completion-handler.js'
import { CompletionForm } from './completion-request.js'
import { EndpointDirectory } from './endpoint-directory.js'
import { readBody, sendError, sendJson } from './http-server.js'
import { NodeRuntime } from './node-runtime.js'
import { addOperatorRoutes } from './operator-routes.js'
import type { ProcessContext } from './process-context.js'
import { RunManager } from './run-manager.js'
import { ServiceHandler } from './service-handler.js'
import type { EntrySettings } from './settings-schema.js'

const listenBacklog = 1024

/** Serves callers. */
class Entry {
  readonly runtime: NodeRuntime
  private readonly directory: EndpointDirectory
  private readonly keys = new KeyIndex()
  private readonly runs: RunManager
  private readonly completions: CompletionHandler
  private readonly calls: CallRouter
  private readonly services: ServiceHandler
  private readonly server: Server

  constructor (
    private readonly context: ProcessContext,
    private readonly settings: EntrySettings
  ) {
    const { replica, membership, clock } = context
    const { runs, callers } = settings
    this.runtime = new NodeRuntime(context)
    this.directory = new EndpointDirectory(settings.instance.name, runs.endpoints_per_stage, membership, clock)
    this.runs = new RunManager(this.runtime, this.directory, {
      openTimeoutMs: runs.open_timeout_ms,
      stallMs: runs.stall_ms,
      probeTimeoutMs: runs.probe_timeout_ms,
      maxReplacements: runs.max_replacements,
      maxCrashes: runs.max_crashes
    })
    const hasModel = (model: string): boolean => replica.getDocument()?.models[model] !== undefined
    this.completions = new CompletionHandler(context, this.runs, hasModel, callers.default_deadline_ms)
    this.calls = new CallRouter(this.runtime, this.directory)
    this.services = new ServiceHandler(context, this.calls, callers.default_deadline_ms)
    this.server = createServer(
      { maxHeaderSize: callers.max_header_bytes, requestTimeout: callers.body_timeout_ms, headersTimeout: callers.body_timeout_ms },
      (request, response) => { void this.handle(request, response) }
    )
    addOperatorRoutes(this.runtime)
    replica.subscribe((document) => {
      this.directory.applyConfig(document)
      this.keys.applyConfig(document)
      this.runs.retainEndpoints()
    })
    membership.subscribe(() => {
      this.directory.refresh()
      this.runs.retainEndpoints()
    })
  }

  async start (): Promise<void> {
    await this.runtime.start()
    const [host, port] = this.settings.callers.address.split(':') as [string, string]
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, listenBacklog, resolve)
    })
  }

  async stop (): Promise<void> {
    this.runtime.startLeaving()
    this.server.close()
    const longestMs = Math.max(this.settings.shutdown.grace_ms, this.settings.callers.default_deadline_ms)
    await this.runtime.drain(() => this.runs.countRuns() + this.services.countCalls(), longestMs)
    this.server.closeAllConnections()
    this.runs.close()
    this.calls.close()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.route(request, response)
    } catch (error) {
      sendError(request, response, error)
    }
  }

  private async route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.context.replica.getRevision() === 0) {
      throw createError(ErrorKind.notReady, 'neither the store nor a peer has given this instance a configuration yet')
    }
    if (this.context.isLeaving) response.setHeader('connection', 'close')
    const team = this.keys.authenticate(request)
    const { method, url = '/' } = request
    if (method === 'GET' && url === '/v1/models') {
      sendJson(response, 200, this.listModels())
      return
    }
    const body = await readBody(request, this.settings.callers.max_body_bytes)
    if (method === 'POST' && url === '/v1/chat/completions') {
      this.completions.handle(CompletionForm.chat, team, body, request, response)
      return
    }
    if (method === 'POST' && url === '/v1/completions') {
      this.completions.handle(CompletionForm.text, team, body, request, response)
      return
    }
    const ticket = /^\/services\/([\w-]+)\/?:issue-key$/.exec(url)
    if (method === 'POST' && ticket !== null) {
      await this.services.issueTicket(team, ticket[1] as string, response)
      return
    }
    const service = /^\/services\/([\w-]+)(\/.*)$/.exec(url)
    if (service === null) throw createError(ErrorKind.notFound, `there is no "${method} ${url}" here`)
    await this.services.handle(team, service[1] as string, service[2] as string, body, request, response)
  }

  private listModels (): unknown {
    const models = Object.keys(this.context.replica.getDocument()?.models ?? {})
    return { object: 'list', data: models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'clementineloft' })) }
  }
}

/**
 * Starts an entry.
 *
 * @returns a function that shuts it down gracefully
 */
export const runEntry = async (context: ProcessContext, settings: EntrySettings): Promise<() => Promise<void>> => {
  const entry = new Entry(context, settings)
  await entry.start()
  return async () => { await entry.stop() }
}
