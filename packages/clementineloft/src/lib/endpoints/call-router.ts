/**
 * Routes calls of plain services: picks an endpoint for each attempt, retries at another endpoint if a second run is
 * ruled out or safe, and limits retries so that they do not add to an overload.
 */
import { parseTicket, rankCandidates } from '@clementineloft/coordination'
import { createError, createIdentifier, ErrorKind, getErrorKind, getErrorMessage, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { ServiceAttempts } from '@clementineloft/routing'
import type { RetryBudget } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import type { ProcessRuntime } from '../peers/process-runtime.js'
import type { EndpointDirectory, ServiceEndpoint } from './endpoint-directory.js'
import { computeRangeIndex } from './key-ranges.js'
import { createRetryBudget } from './retry-limits.js'
import type { RoutedCall } from './routed-call.js'
import { ServiceClient } from './service-client.js'
import { SidecarError } from './sidecar-error.js'

/** Maximum number of endpoints asked for one call. Each one adds a message to a system that may be overloaded. */
const maxAttempts = 4

/** Kinds of sidecar errors after which another endpoint may succeed. */
const retryableKinds: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.leaving, ErrorKind.wrongIncarnation, ErrorKind.overloaded, ErrorKind.superseded, ErrorKind.endpointFailed
])

/** Routes calls of plain services to endpoints. */
export class CallRouter {
  private readonly serviceClient: ServiceClient
  private readonly retryBudget: RetryBudget

  constructor (
    private readonly runtime: ProcessRuntime,
    private readonly directory: EndpointDirectory
  ) {
    this.serviceClient = new ServiceClient(runtime, directory)
    this.retryBudget = createRetryBudget(runtime.context.clock)
  }

  /**
   * Obtains an idempotency key that only the process that issued it may run.
   *
   * @param team - name of the requesting team
   * @param service - name of the service
   * @throws `no-capacity` if no endpoint issues a key
   */
  async issueTicket (team: string, service: string): Promise<string> {
    for (const endpoint of this.rankEndpoints(service, createIdentifier()).slice(0, maxAttempts)) {
      const ticket = await this.fetchTicket(endpoint, service, team)
      if (ticket !== '') return ticket
    }
    throw createError(ErrorKind.noCapacity, `no endpoint of service "${service}" issued an idempotency key`)
  }

  /**
   * Runs a call at an endpoint and returns the answer. Tries up to `maxAttempts` endpoints.
   *
   * @throws an error whose outcome says whether the call may have run
   */
  async route (call: RoutedCall): Promise<wire.CallReply> {
    const ticket = parseTicket(call.key)
    if (ticket !== undefined) return await this.routeTicket(call, ticket.endpoint, ticket.incarnation)
    const rangeIndex = computeRangeIndex(`${call.service}/${call.team} ${call.key}`, call.config.keyRanges)
    const rankingKey = call.key === '' ? call.request : `${call.service}/${rangeIndex}`
    const attempts = new ServiceAttempts(maxAttempts)
    let lastError: unknown = createError(ErrorKind.noCapacity, `no endpoint of service "${call.service}" is available`)
    while (true) {
      const ranked = this.rankEndpoints(call.service, rankingKey)
      const name = attempts.chooseNext(ranked.map((candidate) => candidate.name))
      const endpoint = ranked.find((candidate) => candidate.name === name)
      if (endpoint === undefined) break
      try {
        const reply = await this.serviceClient.callAndResolve(call, endpoint, '')
        this.retryBudget.recordSuccess()
        return reply
      } catch (error) {
        lastError = error
        attempts.recordFailure(endpoint.name, error)
        if (getErrorKind(error) === ErrorKind.endpointFailed) this.directory.avoid(endpoint.name)
        if (!this.canFailOver(call, error) || !this.acquireRetry(error)) break
        this.runtime.context.metrics.count('service_retries_total')
      }
    }
    throw attempts.getFinalError(lastError)
  }

  /** Closes all connections. */
  close (): void {
    this.serviceClient.close()
  }

  /** @returns the key; empty if the endpoint issues none or does not answer */
  private async fetchTicket (endpoint: ServiceEndpoint, service: string, team: string): Promise<string> {
    try {
      return await this.serviceClient.issueTicket(endpoint, service, team)
    } catch (error) {
      this.directory.avoid(endpoint.name)
      this.runtime.context.journal.record({ name: 'ticket-refused', endpoint: endpoint.name, detail: getErrorMessage(error) })
      return ''
    }
  }

  private rankEndpoints (service: string, rankingKey: string): ServiceEndpoint[] {
    const usable = this.directory.findService(service)
    if (usable === undefined) throw createError(ErrorKind.notFound, `service "${service}" does not exist`)
    const ranked = rankCandidates(rankingKey, usable.map((endpoint) => endpoint.name))
    return ranked.map((name) => usable.find((endpoint) => endpoint.name === name) as ServiceEndpoint)
  }

  /**
   * Takes a retry from the budget if the endpoint was overloaded. Retries after other errors are not counted: an
   * endpoint that failed is avoided, so it causes few of them.
   */
  private acquireRetry (error: unknown): boolean {
    return getErrorKind(error) !== ErrorKind.overloaded || this.retryBudget.take()
  }

  /**
   * @returns whether another endpoint may be tried: the call did not run, is idempotent, or has an idempotency key
   *   whose claim prevents a second run
   */
  private canFailOver (call: RoutedCall, error: unknown): boolean {
    if (this.runtime.context.clock.now() >= call.deadlineMs) return false
    if (error instanceof SidecarError) return error.outcome === Outcome.notRun && retryableKinds.has(error.kind)
    return call.isIdempotent || call.key !== '' || getErrorOutcome(error) === Outcome.notRun
  }

  private async routeTicket (call: RoutedCall, name: string, incarnation: string): Promise<wire.CallReply> {
    const endpoint = this.directory.findServiceEndpoint(call.service, name)
    if (endpoint !== undefined) return await this.serviceClient.callAndResolve(call, endpoint, incarnation)
    throw createError(ErrorKind.outcomeUnknown, `endpoint "${name}", which issued this idempotency key, no longer exists`, { outcome: Outcome.unknown })
  }
}
