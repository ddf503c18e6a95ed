/**
 * Admission of forwarded calls: resolves route, team and service, and creates a run for each admitted call.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { KindError } from '@clementineloft/kernel'
import type { RouteTable } from '@clementineloft/routing'
import { CallHost } from '../callers/call-host.js'
import type { AcceptedCall } from '../callers/call-host.js'
import { findHeaderFault, isRequestTarget } from '../callers/message-text.js'
import type { ForwardedCall } from './call-protocol.js'
import { CallRun } from './call-run.js'
import { computeCallTraits } from './call-traits.js'
import type { ForwardingContext } from './forwarding-context.js'

/** @throws `bad-request` unless the call can be sent on with its target and headers */
const checkText = ({ target, headers }: ForwardedCall): void => {
  if (!isRequestTarget(target)) throw createError(ErrorKind.badRequest, 'the target of the request has a blank or a control character')
  const fault = findHeaderFault(headers)
  if (fault !== undefined) throw createError(ErrorKind.badRequest, `the request cannot be forwarded: ${fault}`)
}

/** Admits calls by the current routes. */
export class ForwardingHost extends CallHost<ForwardedCall> {
  private routes: RouteTable | undefined

  constructor (private readonly context: ForwardingContext) {
    super()
  }

  /** Replaces the routes for calls that arrive from now on. */
  applyRoutes (routes: RouteTable): void {
    this.routes = routes
  }

  override accept (call: ForwardedCall, arrivedMs: number): AcceptedCall {
    const { context, routes } = this
    if (routes === undefined) throw createError(ErrorKind.notReady, 'this instance has not received a configuration yet')
    const route = routes.findRoute(call.host, call.path)
    if (route === undefined) throw createError(ErrorKind.notFound, `no route matches host "${call.host}" and path "${call.path}"`)
    const team = call.key === undefined ? undefined : routes.findTeam(call.key)
    if (team === undefined && routes.hasTeams() && !route.isPublic) {
      throw createError(ErrorKind.unauthorized, 'the API key is missing or belongs to no team')
    }
    checkText(call)
    const rank = team?.priority ?? route.priority
    return {
      maxBodyBytes: routes.config.limits.maxBodyBytes,
      start: (body, _request, response) => {
        const service = context.placement.pickService(route)
        if (service === undefined) throw createError(ErrorKind.noCapacity, `route "${route.name}" has no target service`)
        const traits = computeCallTraits(call, service, team?.name, body)
        const run = new CallRun(context, { call, route, service, rank, body, traits, arrivedMs, ...(team === undefined ? {} : { team: team.name }) }, response)
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
