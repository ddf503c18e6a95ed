/**
 * The entry process: serves callers over HTTP and routes their requests to endpoints through the sidecars.
 */
import { ApiKeyIndex } from './api-key-index.js'
import { CallServer } from './call-server.js'
import type { CallHead } from './caller-protocol.js'
import { drainCalls } from './drain-calls.js'
import { CallRouter } from '../endpoints/call-router.js'
import { CompletionHandler } from './completion-handler.js'
import { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import { ModelHost } from './model-host.js'
import { OpenAiProtocol } from './open-ai-protocol.js'
import { ProcessRuntime } from '../peers/process-runtime.js'
import { addOperatorRoutes } from '../operators/operator-routes.js'
import type { ProcessContext } from '../peers/process-context.js'
import { RunManager } from '../endpoints/run-manager.js'
import { ServiceHandler } from './service-handler.js'
import type { EntrySettings } from '../settings/settings-schema.js'

/** Maximum time for which an idle connection is kept open, in milliseconds; the default of Node.js. */
const idleConnectionTimeoutMs = 5000

/** Connects the parts of an entry. */
class Entry {
  readonly runtime: ProcessRuntime
  private readonly directory: EndpointDirectory
  private readonly keys = new ApiKeyIndex()
  private readonly runs: RunManager
  private readonly calls: CallRouter
  private readonly services: ServiceHandler
  private readonly server: CallServer<CallHead>

  constructor (
    context: ProcessContext,
    private readonly settings: EntrySettings
  ) {
    const { replica, membership, clock } = context
    const { runs, callers } = settings
    this.runtime = new ProcessRuntime(context)
    this.directory = new EndpointDirectory(settings.instance.name, runs.endpoints_per_stage, membership, clock)
    this.runs = new RunManager(this.runtime, this.directory, {
      openTimeoutMs: runs.open_timeout_ms,
      stallMs: runs.stall_ms,
      probeTimeoutMs: runs.probe_timeout_ms,
      maxReplacements: runs.max_replacements,
      restartPauseMs: runs.restart_pause_ms,
      maxSilenceMs: runs.max_silence_ms,
      maxCrashes: runs.max_crashes
    })
    const hasModel = (model: string): boolean => replica.getDocument()?.models[model] !== undefined
    const completions = new CompletionHandler(context, this.runs, hasModel, callers.default_deadline_ms)
    this.calls = new CallRouter(this.runtime, this.directory)
    this.services = new ServiceHandler(context, this.calls, callers.default_deadline_ms)
    const host = new ModelHost(context, this.keys, completions, this.services, callers.max_body_bytes)
    this.server = new CallServer(new OpenAiProtocol(), host, clock, callers.max_header_bytes)
    this.server.applyLimits({
      headerTimeoutMs: callers.body_timeout_ms, requestTimeoutMs: callers.body_timeout_ms, idleTimeoutMs: idleConnectionTimeoutMs
    })
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
    await this.server.listen(this.settings.callers.address)
  }

  async stop (): Promise<void> {
    this.runtime.startLeaving()
    this.server.stopListening()
    const limitMs = Math.max(this.settings.shutdown.grace_ms, this.settings.callers.default_deadline_ms)
    await drainCalls({ server: this.server, clock: this.runtime.context.clock, limitMs, acceptsConnections: false, endCalls: () => {} })
    this.server.close()
    await this.runtime.drain(() => this.runs.countRuns() + this.services.countCalls(), 0)
    this.runs.close()
    this.calls.close()
  }
}

/**
 * Starts an entry.
 *
 * @returns a function that shuts it down gracefully: it stops accepting connections, drains the requests in flight and
 *   closes all connections
 */
export const runEntry = async (context: ProcessContext, settings: EntrySettings): Promise<() => Promise<void>> => {
  const entry = new Entry(context, settings)
  await entry.start()
  return async () => { await entry.stop() }
}
