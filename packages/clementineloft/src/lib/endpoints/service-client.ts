/**
 * Makes one attempt of a call at one endpoint of a plain service. If the answer is lost, the call may or may not have
 * run; the client then resolves its outcome with the process that received it or with the holder of its key.
 */
import { createError, ErrorKind, getErrorMessage, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import type { KindError } from '@clementineloft/kernel'
import type { clementineloft as wire } from '../../../generated/wire.js'
import { peerService, sidecarService } from '../peers/grpc-services.js'
import type { ProcessRuntime } from '../peers/process-runtime.js'
import { UnaryClient } from '../peers/unary-client.js'
import type { EndpointDirectory, ServiceEndpoint } from './endpoint-directory.js'
import type { RoutedCall } from './routed-call.js'
import { SidecarError } from './sidecar-error.js'

const pingIntervalMs = 500
const pingTimeoutMs = 500
const resolveTimeoutMs = 500
const ticketTimeoutMs = 800

const createUnknownOutcomeError = (endpoint: string, cause: unknown): KindError =>
  createError(ErrorKind.outcomeUnknown, `no answer to the call from endpoint "${endpoint}": ${getErrorMessage(cause)}`, {
    outcome: Outcome.unknown, cause
  })

/** Client of the sidecars of plain services. */
export class ServiceClient {
  private readonly clients = new Map<string, UnaryClient>()

  /**
   * @param directory - records endpoints that do not answer, so that they are avoided
   */
  constructor (
    private readonly runtime: ProcessRuntime,
    private readonly directory: EndpointDirectory
  ) {}

  /**
   * Requests an idempotency key that only the endpoint's current process may run.
   *
   * @param team - name of the requesting team
   * @returns the key; empty if the endpoint issues none
   * @throws `endpoint-failed` if it does not answer
   */
  async issueTicket (endpoint: ServiceEndpoint, service: string, team: string): Promise<string> {
    const { context } = this.runtime
    const message = { header: context.createHeader(), service, team }
    const reply = await this.getClient(endpoint).call(sidecarService.issueTicket, message, ticketTimeoutMs)
    context.mergeHeader(reply.header)
    return reply.ticket
  }

  /** Closes all connections. */
  close (): void {
    for (const client of this.clients.values()) client.close()
  }

  /**
   * Calls an endpoint. If no answer arrives, resolves the outcome with the same process, unless the call can be
   * repeated at another endpoint because it is idempotent or the claim on its key prevents a second run.
   *
   * @param target - incarnation of the only process that may run the call; empty for the endpoint's current process
   * @throws an error whose outcome says whether the call may have run
   */
  async callAndResolve (call: RoutedCall, endpoint: ServiceEndpoint, target: string): Promise<wire.CallReply> {
    const { context } = this.runtime
    const { clock, membership } = context
    if (target === '' && membership.getIncarnation(endpoint.name) === undefined) await this.fetchIncarnation(endpoint)
    const knownIncarnation = target === '' ? membership.getIncarnation(endpoint.name) ?? '' : target
    const message = { ...call.message, header: context.createHeader(), target: knownIncarnation }
    const remainingMs = Math.max(1, call.deadlineMs - clock.now())
    const answer = this.getClient(endpoint).call(sidecarService.call, message, remainingMs)
    const monitored = this.watchLiveness(answer, endpoint)
    try {
      return await this.checkReply(call, endpoint, await monitored)
    } catch (error) {
      if (error instanceof SidecarError || getErrorOutcome(error) === Outcome.notRun) throw error
      this.directory.avoid(endpoint.name)
      const isSafeToRepeat = call.isIdempotent || (call.key !== '' && target === '')
      if (isSafeToRepeat) throw createUnknownOutcomeError(endpoint.name, error)
      return await this.resolve(call, endpoint, knownIncarnation, error)
    }
  }

  /** Rejects before the deadline if the endpoint stops responding to pings while the call runs. */
  private async watchLiveness (answer: Promise<wire.CallReply>, endpoint: ServiceEndpoint): Promise<wire.CallReply> {
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

  /** Fetches the incarnation of an endpoint before the first call to it. */
  private async fetchIncarnation (endpoint: ServiceEndpoint): Promise<void> {
    try {
      await this.ping(endpoint)
    } catch (error) {
      this.directory.avoid(endpoint.name)
      throw createError(ErrorKind.endpointFailed, getErrorMessage(error), { outcome: Outcome.notRun, cause: error })
    }
  }

  /**
   * Checks that an endpoint's sidecar responds, and records its incarnation from the reply.
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
    if (target === '') throw createUnknownOutcomeError(endpoint.name, cause)
    let reply: wire.CallReply
    try {
      const { key, request } = call
      const message = { header: context.createHeader(), request, target, key, scope: `${call.service}/${call.team}` }
      reply = await this.getClient(endpoint).call(sidecarService.resolve, message, resolveTimeoutMs)
    } catch (error) {
      throw createUnknownOutcomeError(endpoint.name, error)
    }
    return await this.checkReply(call, endpoint, reply)
  }

  private async checkReply (call: RoutedCall, endpoint: ServiceEndpoint, reply: wire.CallReply): Promise<wire.CallReply> {
    this.runtime.context.mergeHeader(reply.header)
    if (reply.kind === '') return reply
    const error = new SidecarError(reply.kind as ErrorKind, reply.message, { outcome: reply.outcome as Outcome })
    if (reply.holder === '' || reply.holder === endpoint.name) throw error
    return await this.resolveWithHolder(call, reply, error)
  }

  /**
   * Requests the answer from the process that holds the claim on the call's key. A holder that never started the call
   * has released its claim, so another endpoint may run the call.
   */
  private async resolveWithHolder (call: RoutedCall, claimedReply: wire.CallReply, error: Error): Promise<wire.CallReply> {
    const holder = this.directory.findServiceEndpoint(call.service, claimedReply.holder)
    if (holder === undefined) throw error
    const reply = await this.fetchHolderReply(call, holder, claimedReply.holderIncarnation)
    if (reply?.kind === '') return reply
    const neverStarted = reply?.kind === ErrorKind.superseded && reply.outcome === Outcome.notRun
    throw neverStarted ? new SidecarError(ErrorKind.superseded, reply.message, { outcome: Outcome.notRun }) : error
  }

  /** @returns the holder's reply; `undefined` if it cannot be reached, in which case the outcome stays unknown */
  private async fetchHolderReply (
    call: RoutedCall,
    holder: ServiceEndpoint,
    incarnation: string
  ): Promise<wire.CallReply | undefined> {
    const { context } = this.runtime
    const message = {
      header: context.createHeader(),
      target: incarnation,
      key: call.key,
      scope: `${call.service}/${call.team}`
    }
    try {
      return await this.getClient(holder).call(sidecarService.resolve, message, resolveTimeoutMs)
    } catch (error) {
      context.journal.record({
        name: 'holder-unreachable', request: call.request, endpoint: holder.name, detail: getErrorMessage(error)
      })
      return undefined
    }
  }

  private getClient (endpoint: ServiceEndpoint): UnaryClient {
    const known = this.clients.get(endpoint.address)
    if (known !== undefined) return known
    const client = new UnaryClient(endpoint.address, this.runtime.channelCredentials)
    this.clients.set(endpoint.address, client)
    return client
  }
}
