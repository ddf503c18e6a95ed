/**
 * Routes calls of plain services: picks an endpoint, and settles what became of a call whose answer was lost.
 */
import { parseTicket, rankCandidates } from '@clementineloft/coordination'
import {
  createError, createIdentifier, ErrorKind, getErrorKind, getErrorMessage, getErrorOutcome, KindError, Outcome
} from '@clementineloft/kernel'
import { AttemptOutcomes } from '@clementineloft/routing'
import type { RetryBudget } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../generated/wire.js'
import type { ServiceConfig } from './config-document.js'
import type { EndpointDirectory, ServiceEndpoint } from './endpoint-directory.js'
import { peerService, sidecarService } from './grpc-services.js'
import { computeRangeIndex } from './key-ranges.js'
import type { NodeRuntime } from './node-runtime.js'
import { createRetryBudget } from './retry-limits.js'
import { UnaryClient } from './unary-client.js'

const pingIntervalMs = 500
const pingTimeoutMs = 500
const resolveTimeoutMs = 500
const ticketTimeoutMs = 800
const maxAttempts = 4

/** A call on its way to an endpoint. */
export interface RoutedCall {
  service: string
  config: ServiceConfig
  /** Name of the team that calls. */
  team: string
  /** Identity of the call. */
  request: string
  message: wire.ICallRequest
  isIdempotent: boolean
  /** The idempotency key; empty for none. */
  key: string
  /** Time on the process's clock by which the answer must be there, in milliseconds. */
  deadlineMs: number
}

/** An error that a sidecar gave as its answer, as against one of the connection to it. */
class SidecarError extends KindError {}

/** Kinds after which another endpoint may do better. */
const passingKinds: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.leaving, ErrorKind.wrongIncarnation, ErrorKind.overloaded, ErrorKind.superseded, ErrorKind.endpointFailed
])

const createLostError = (endpoint: string, cause: unknown): KindError =>
  createError(ErrorKind.outcomeUnknown, `endpoint "${endpoint}" was lost during the call: ${getErrorMessage(cause)}`, {
    outcome: Outcome.unknown, cause
  })

/** Routes calls. */
export class CallRouter {
  private readonly clients = new Map<string, UnaryClient>()
  private readonly retryBudget: RetryBudget

  constructor (
    private readonly runtime: NodeRuntime,
    private readonly directory: EndpointDirectory
  ) {
    this.retryBudget = createRetryBudget(runtime.context.clock)
  }

  /**
   * Asks an endpoint for an idempotency key that its process alone may run.
   *
   * @param team - name of the team that asks
   * @param service - name of the service
   * @throws `no-capacity` if no endpoint answers
   */
  async issueTicket (team: string, service: string): Promise<string> {
    const { context } = this.runtime
    for (const endpoint of this.rankEndpoints(service, createIdentifier()).slice(0, maxAttempts)) {
      try {
        const message = { header: context.createHeader(), service, team }
        const reply = await this.getClient(endpoint).call(sidecarService.issueTicket, message, ticketTimeoutMs)
        context.mergeHeader(reply.header)
        if (reply.ticket !== '') return reply.ticket
      } catch {
        this.directory.avoid(endpoint.name)
      }
    }
    throw createError(ErrorKind.noCapacity, `no endpoint of service "${service}" can issue a key`)
  }

  /**
   * Gets the answer to a call.
   *
   * @throws an error whose outcome says whether the call may have run
   */
  async route (call: RoutedCall): Promise<wire.CallReply> {
    const ticket = parseTicket(call.key)
    if (ticket !== undefined) return await this.routeTicket(call, ticket.endpoint, ticket.incarnation)
    const range = computeRangeIndex(`${call.service}/${call.team} ${call.key}`, call.config.keyRanges)
    const placement = call.key === '' ? call.request : `${call.service}/${range}`
    const tried = new Set<string>()
    const outcomes = new AttemptOutcomes()
    let lastError: unknown = createError(ErrorKind.noCapacity, `no endpoint of service "${call.service}" is available`)
    while (tried.size < maxAttempts) {
      const endpoint = this.rankEndpoints(call.service, placement).find((candidate) => !tried.has(candidate.name))
      if (endpoint === undefined) break
      tried.add(endpoint.name)
      try {
        const reply = await this.callSettled(call, endpoint, '')
        this.retryBudget.recordSuccess()
        return reply
      } catch (error) {
        lastError = error
        outcomes.record(error)
        if (getErrorKind(error) === ErrorKind.endpointFailed) this.directory.avoid(endpoint.name)
        if (!this.canTryNext(call, error) || !this.hasRetry(error)) break
        this.runtime.context.metrics.count('service_retries_total')
      }
    }
    throw outcomes.getFinalError(lastError)
  }

  /** Closes all connections. */
  close (): void {
    for (const client of this.clients.values()) client.close()
  }

  private rankEndpoints (service: string, placement: string): ServiceEndpoint[] {
    const usable = this.directory.findService(service)
    if (usable === undefined) throw createError(ErrorKind.notFound, `service "${service}" does not exist`)
    const ranked = rankCandidates(placement, usable.map((endpoint) => endpoint.name))
    return ranked.map((name) => usable.find((endpoint) => endpoint.name === name) as ServiceEndpoint)
  }

  /** Retries after an overload come from the budget; an endpoint that failed is avoided and so costs few of them. */
  private hasRetry (error: unknown): boolean {
    return getErrorKind(error) !== ErrorKind.overloaded || this.retryBudget.take()
  }

  /** Another endpoint may be tried if the call did not run, does no harm when repeated, or is guarded by its key. */
  private canTryNext (call: RoutedCall, error: unknown): boolean {
    if (this.runtime.context.clock.now() >= call.deadlineMs) return false
    if (error instanceof SidecarError) return error.outcome === Outcome.notRun && passingKinds.has(error.kind)
    return call.isIdempotent || call.key !== '' || getErrorOutcome(error) === Outcome.notRun
  }

  private async routeTicket (call: RoutedCall, name: string, incarnation: string): Promise<wire.CallReply> {
    const endpoint = this.directory.findServiceEndpoint(call.service, name)
    if (endpoint !== undefined) return await this.callSettled(call, endpoint, incarnation)
    throw createError(ErrorKind.outcomeUnknown, `the endpoint "${name}" of this key no longer exists`, { outcome: Outcome.unknown })
  }

  /**
   * Calls an endpoint. When no answer comes, asks the same process what became of the call, unless another endpoint may
   * be asked to run it: claims on its key, or its nature, then keep a repeat from doing harm.
   */
  private async callSettled (call: RoutedCall, endpoint: ServiceEndpoint, target: string): Promise<wire.CallReply> {
    const { context } = this.runtime
    const { clock, membership } = context
    if (target === '' && membership.getIncarnation(endpoint.name) === undefined) await this.greet(endpoint)
    const known = target === '' ? membership.getIncarnation(endpoint.name) ?? '' : target
    const message = { ...call.message, header: context.createHeader(), target: known }
    const remainingMs = Math.max(1, call.deadlineMs - clock.now())
    const answer = this.getClient(endpoint).call(sidecarService.call, message, remainingMs)
    const watched = this.watchSilence(answer, endpoint)
    try {
      return await this.checkReply(call, endpoint, await watched)
    } catch (error) {
      if (error instanceof SidecarError || getErrorOutcome(error) === Outcome.notRun) throw error
      this.directory.avoid(endpoint.name)
      const isGuarded = call.isIdempotent || (call.key !== '' && target === '')
      if (isGuarded) throw createLostError(endpoint.name, error)
      return await this.resolve(call, endpoint, known, error)
    }
  }

  /** Rejects early if the endpoint has stopped responding while a call is running there. */
  private async watchSilence (answer: Promise<wire.CallReply>, endpoint: ServiceEndpoint): Promise<wire.CallReply> {
    const progress = { isSettled: false }
    const settled = answer.finally(() => { progress.isSettled = true })
    settled.catch(() => {})
    return await Promise.race([settled, this.pingUntilSettled(progress, endpoint).then(async () => await settled)])
  }

  private async pingUntilSettled (progress: { isSettled: boolean }, endpoint: ServiceEndpoint): Promise<void> {
    while (!progress.isSettled) {
      await this.runtime.context.clock.wait(pingIntervalMs)
      if (!progress.isSettled) await this.ping(endpoint)
    }
  }

  /** Learns the incarnation of an endpoint before the first call to it. */
  private async greet (endpoint: ServiceEndpoint): Promise<void> {
    try {
      await this.ping(endpoint)
    } catch (error) {
      this.directory.avoid(endpoint.name)
      throw createError(ErrorKind.endpointFailed, getErrorMessage(error), { outcome: Outcome.notRun, cause: error })
    }
  }

  /**
   * Checks that an endpoint's sidecar responds, and learns its incarnation.
   *
   * @throws `endpoint-failed` if it does not
   */
  private async ping (endpoint: ServiceEndpoint): Promise<void> {
    const { context } = this.runtime
    const message = { header: context.createHeader() }
    const reply = await this.getClient(endpoint).call(peerService.exchange, message, pingTimeoutMs)
    context.mergeHeader(reply.header)
  }

  private async resolve (
    call: RoutedCall,
    endpoint: ServiceEndpoint,
    target: string,
    cause: unknown
  ): Promise<wire.CallReply> {
    const { context } = this.runtime
    if (target === '') throw createLostError(endpoint.name, cause)
    let reply: wire.CallReply
    try {
      const { key, request } = call
      const message = { header: context.createHeader(), request, target, key, scope: `${call.service}/${call.team}` }
      reply = await this.getClient(endpoint).call(sidecarService.resolve, message, resolveTimeoutMs)
    } catch (error) {
      throw createLostError(endpoint.name, error)
    }
    return await this.checkReply(call, endpoint, reply)
  }

  private async checkReply (call: RoutedCall, endpoint: ServiceEndpoint, reply: wire.CallReply): Promise<wire.CallReply> {
    this.runtime.context.mergeHeader(reply.header)
    if (reply.kind === '') return reply
    const error = new SidecarError(reply.kind as ErrorKind, reply.message, { outcome: reply.outcome as Outcome })
    if (reply.holder === '' || reply.holder === endpoint.name) throw error
    return await this.askHolder(call, reply, error)
  }

  /** Asks the process that claimed a key for its answer. */
  private async askHolder (call: RoutedCall, claimed: wire.CallReply, error: Error): Promise<wire.CallReply> {
    const holder = this.directory.findServiceEndpoint(call.service, claimed.holder)
    if (holder === undefined) throw error
    const { context } = this.runtime
    const message = {
      header: context.createHeader(),
      target: claimed.holderIncarnation,
      key: call.key,
      scope: `${call.service}/${call.team}`
    }
    try {
      const reply = await this.getClient(holder).call(sidecarService.resolve, message, resolveTimeoutMs)
      if (reply.kind === '') return reply
    } catch {
      // The holder cannot be reached, so the outcome stays unknown.
    }
    throw error
  }

  private getClient (endpoint: ServiceEndpoint): UnaryClient {
    const known = this.clients.get(endpoint.address)
    if (known !== undefined) return known
    const client = new UnaryClient(endpoint.address, this.runtime.channelCredentials)
    this.clients.set(endpoint.address, client)
    return client
  }
}
