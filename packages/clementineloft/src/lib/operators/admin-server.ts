/**
 * HTTP server for health checks, metrics, the event timeline and operators' calls of a process, on an address separate
 * from the traffic of callers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createError, ErrorKind } from '@clementineloft/kernel'
import { listenAt, sendError, sendJson } from '../callers/http-server.js'
import { createSmallServer } from '../callers/small-server.js'
import type { ProcessContext } from '../peers/process-context.js'

/** Handles a request; the result is sent as JSON. */
export type AdminHandler = (request: IncomingMessage, url: URL) => Promise<unknown> | unknown

/** Serves operators' calls and the platform's health checks. */
export class AdminServer {
  private readonly routes = new Map<string, AdminHandler>()
  private readonly server = createSmallServer((request, response) => { void this.handle(request, response) }, true)
  private readonly readinessChecks: Array<() => boolean> = []

  constructor (private readonly context: ProcessContext) {
    this.addRoute('GET /timeline', () => context.journal.list())
    this.addRoute('GET /status', () => this.getStatus())
    context.metrics.registerGauge('config_revision', () => context.replica.getRevision())
    context.metrics.registerGauge('process_resident_bytes', () => process.memoryUsage.rss())
    context.metrics.registerGauge('process_heap_bytes', () => process.memoryUsage().heapUsed)
    context.metrics.registerGauge('process_cpu_microseconds', () => process.cpuUsage().user + process.cpuUsage().system)
  }

  /**
   * @param route - method and path, such as `POST /plans`
   * @param handler - handles the requests of the route
   */
  addRoute (route: string, handler: AdminHandler): void {
    this.routes.set(route, handler)
  }

  /** @param check - returns whether a part of this process is ready for work */
  addReadinessCheck (check: () => boolean): void {
    this.readinessChecks.push(check)
  }

  /** @param address - address to listen on, `ip:port` */
  listen (address: string): Promise<void> {
    return listenAt(this.server, address)
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** @returns whether this process accepts new work: it has a configuration, is not leaving, and all checks pass */
  isReady (): boolean {
    return this.context.replica.getRevision() > 0 && !this.context.isLeaving && this.readinessChecks.every((check) => check())
  }

  private getStatus (): unknown {
    const { settings, incarnation, replica, membership, isLeaving } = this.context
    return {
      instance: settings.instance.name,
      dataCentre: settings.instance.data_centre,
      incarnation,
      isLeaving,
      revision: replica.getRevision(),
      instances: membership.list().map((instance) => ({ ...instance, isServing: membership.isServing(instance.name) }))
    }
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://localhost')
    const route = `${request.method} ${url.pathname}`
    if (route === 'GET /healthz') {
      sendJson(response, 200, { status: 'ok' })
      return
    }
    if (route === 'GET /readyz') {
      sendJson(response, this.isReady() ? 200 : 503, { isReady: this.isReady() })
      return
    }
    if (route === 'GET /metrics') {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
      response.end(this.context.metrics.render())
      return
    }
    try {
      const handler = this.routes.get(route)
      if (handler === undefined) throw createError(ErrorKind.notFound, `route "${route}" does not exist`)
      sendJson(response, 200, await handler(request, url))
    } catch (error) {
      sendError(request, response, error)
    }
  }
}
