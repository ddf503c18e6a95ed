/**
 * Accepts calls that are forwarded whole: finds route, team and service, and hands each call to a run.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { KindError } from '@clementineloft/kernel'
import type { RouteTable } from '@clementineloft/routing'
import { CallHost } from '../callers/call-host.js'
import type { AcceptedCall } from '../callers/call-host.js'
import type { ForwardedCall } from './call-protocol.js'
import { CallRun } from './call-run.js'
import type { ForwardingContext } from './forwarding-context.js'

/** Accepts calls by the routes in force. */
export class ForwardingHost extends CallHost<ForwardedCall> {
  private routes: RouteTable | undefined
  private isRefusing = false

  constructor (private readonly context: ForwardingContext) {
    super()
  }

  /** Brings another configuration into force for calls that arrive from now on. */
  applyRoutes (routes: RouteTable): void {
    this.routes = routes
  }

  /** Refuses all calls that come from now on, since there is no time left to serve them. */
  refuseNewCalls (): void {
    this.isRefusing = true
  }

  override accept (call: ForwardedCall, arrivedMs: number): AcceptedCall {
    const { context, routes } = this
    if (this.isRefusing) throw createError(ErrorKind.leaving, 'this instance is shutting down; come back on a new connection')
    if (routes === undefined) throw createError(ErrorKind.notReady, 'this instance has no configuration yet')
    const route = routes.findRoute(call.host, call.path)
    if (route === undefined) throw createError(ErrorKind.notFound, `no route of host "${call.host}" begins path "${call.path}"`)
    const team = call.key === undefined ? undefined : routes.findTeam(call.key)
    if (team === undefined && routes.hasTeams() && !route.isPublic) {
      throw createError(ErrorKind.unauthorized, 'the key is missing or belongs to no team')
    }
    const rank = team?.priority ?? route.priority
    return {
      maxBodyBytes: routes.config.limits.maxBodyBytes,
      start: (body, _request, response) => {
        const service = context.placement.pickService(route)
        if (service === undefined) throw createError(ErrorKind.noCapacity, `route "${route.name}" names no service`)
        const run = new CallRun(context, { call, route, service, rank, body, arrivedMs, ...(team === undefined ? {} : { team: team.name }) }, response)
        context.runs.add(run)
        run.start()
      }
    }
  }

  override isLeaving (): boolean {
    return this.context.isLeaving
  }

  override recordRefusal (call: ForwardedCall | undefined, { kind, message }: KindError): void {
    const { metrics, journal } = this.context
    metrics.count(`calls_total{outcome="${kind}"}`)
    journal.record({
      name: 'call-refused',
      ...(call === undefined ? {} : { request: call.id }),
      detail: message,
      data: { kind, version: this.routes?.config.version ?? 0 }
    })
  }

  override getRetryAfterMs (): number {
    return this.context.getRetryAfterMs()
  }
}
