/**
 * The sidecar of a plain service: limits and queues its calls, and claims idempotency keys in the store so that a
 * repeated call does not run twice.
 */
import PQueue from 'p-queue'
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { CallGate, CallRunner, ClaimedElsewhereError, ClaimRange, TicketIssuer } from '@clementineloft/coordination'
import {
  createError, ErrorKind, getErrorKind, getErrorMessage, getErrorOutcome, Outcome
} from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { createFairQueueClass } from '@clementineloft/routing'
import type { FairQueue, FairQueueOptions } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import { plainServices } from '../adapters/adapters.js'
import { computeWeight } from '../operators/config-document.js'
import { sidecarService } from '../peers/grpc-services.js'
import { CrashGuard } from './crash-guard.js'
import { findKeyRange } from './key-ranges.js'
import type { ProcessRuntime } from '../peers/process-runtime.js'
import type { PlainService, ServiceAnswer, ServiceCall } from '../adapters/plain-service.js'
import type { SidecarSettings } from '../settings/settings-schema.js'

type ServiceSettings = NonNullable<SidecarSettings['service']>

/** Runs calls with bounded concurrency and queues the rest by weighted fair queueing between teams. */
class FairQueueRunner extends CallRunner<ServiceCall, ServiceAnswer> {
  private readonly queue: PQueue<FairQueue, FairQueueOptions>

  constructor (
    private readonly service: PlainService,
    private readonly clock: Clock,
    maxInFlight: number,
    getWeight: (team: string) => number
  ) {
    super()
    this.queue = new PQueue({ concurrency: maxInFlight, queueClass: createFairQueueClass(getWeight) })
  }

  override async run (call: ServiceCall): Promise<ServiceAnswer> {
    const arrivedMs = this.clock.now()
    const runBeforeDeadline = async (): Promise<ServiceAnswer> => {
      const isBeforeDeadline = this.clock.now() - arrivedMs < call.deadlineMs
      if (!isBeforeDeadline) throw createError(ErrorKind.deadline, `call "${call.request}" was not started: it was still queued when its deadline of ${call.deadlineMs} ms passed`)
      return await this.service.run(call)
    }
    return await this.queue.add(runBeforeDeadline, { team: call.team }) as ServiceAnswer
  }
}

/** Serves one endpoint of a plain service. */
export class ServiceSidecar {
  private readonly gate: CallGate<ServiceCall, ServiceAnswer>
  private readonly tickets: TicketIssuer
  private readonly claimRanges = new Map<string, ClaimRange<ServiceAnswer>>()
  private readonly endpoint: string
  private inFlight = 0
  private isLeaving = false

  constructor (
    private readonly runtime: ProcessRuntime,
    private readonly settings: ServiceSettings
  ) {
    const { context } = runtime
    const { clock, incarnation, replica, metrics } = context
    this.endpoint = context.settings.instance.name
    this.tickets = new TicketIssuer(this.endpoint, incarnation, clock, settings.retention_ms)
    const service = new CrashGuard(
      plainServices.get(settings.adapter)(settings.url, settings.call_timeout_ms), this.endpoint, context.crashes,
      async (report) => { await runtime.broadcastCrash(report) }
    )
    const getWeight = (team: string): number => computeWeight(replica.getDocument()?.teams[team])
    const runner = new FairQueueRunner(service, clock, settings.max_in_flight, getWeight)
    this.gate = new CallGate(
      this.endpoint, runner, (call, key) => this.findRange(call.service, key), this.tickets, clock, settings.retention_ms
    )
    runtime.addService(sidecarService, {
      call: (call: ServerUnaryCall<wire.CallRequest, wire.ICallReply>, callback: sendUnaryData<wire.ICallReply>) => {
        void this.answer(callback, call.request, async () => await this.gate.handle(this.parseCall(call.request)))
      },
      resolve: (call: ServerUnaryCall<wire.ResolveRequest, wire.ICallReply>, callback: sendUnaryData<wire.ICallReply>) => {
        void this.answer(callback, call.request, async () => await this.resolve(call.request))
      },
      issueTicket: (call: ServerUnaryCall<wire.TicketRequest, wire.ITicketReply>, callback: sendUnaryData<wire.ITicketReply>) => {
        this.issueTicket(call.request, callback)
      }
    })
    metrics.registerGauge('service_calls_in_flight', () => this.inFlight)
    metrics.registerGauge('service_call_records', () => this.gate.countRecords())
  }

  /** @param isLeaving - whether the sidecar is leaving and refuses new calls */
  setLeaving (isLeaving: boolean): void {
    this.isLeaving = isLeaving
    this.gate.setLeaving(isLeaving)
  }

  /** Does nothing: a running call cannot move to another endpoint and ends by its own deadline. */
  evictAll (): void {}

  /** @returns number of calls and outcome queries in progress, including queued calls */
  countInFlight (): number {
    return this.inFlight
  }

  private findRange (service: string, scopedKey: string): ClaimRange<ServiceAnswer> {
    const { context, store } = this.runtime
    const { storeKey, writeIntervalMs } = findKeyRange(context.replica.getDocument(), service, scopedKey)
    const existing = this.claimRanges.get(storeKey)
    if (existing !== undefined) return existing
    const range = new ClaimRange<ServiceAnswer>(store, storeKey, context.clock, {
      holder: this.endpoint,
      incarnation: context.incarnation,
      retentionMs: this.settings.retention_ms,
      writeIntervalMs
    })
    this.claimRanges.set(storeKey, range)
    return range
  }

  private parseCall (message: wire.CallRequest): ServiceCall {
    const { request, team, service, key, fingerprint, isIdempotent, method, deadlineMs, path, headers, body } = message
    return { request, scope: `${service}/${team}`, key, fingerprint, isIdempotent, team, service, method, deadlineMs, path, headers, body }
  }

  /**
   * Refuses a call addressed to an earlier process at this address. The refusal proves only that this message did not
   * run; it says nothing about messages that the earlier process received.
   *
   * @throws `wrong-incarnation`
   */
  private checkIncarnation (target: string): void {
    const { incarnation } = this.runtime.context
    if (target === '' || target === incarnation) return
    throw createError(ErrorKind.wrongIncarnation, `endpoint "${this.endpoint}" has restarted since the call was addressed to it`, { outcome: Outcome.notRun })
  }

  private async resolve (message: wire.ResolveRequest): Promise<ServiceAnswer> {
    if (message.target !== '' && message.target !== this.runtime.context.incarnation) {
      throw createError(ErrorKind.outcomeUnknown, `the process that received the call at endpoint "${this.endpoint}" has ended`, {
        outcome: Outcome.unknown
      })
    }
    const { request, scope, key } = message
    return request === '' ? await this.gate.resolveKey(scope, key) : await this.gate.resolve(request, scope, key)
  }

  private async answer (
    callback: sendUnaryData<wire.ICallReply>,
    message: wire.CallRequest | wire.ResolveRequest,
    run: () => Promise<ServiceAnswer>
  ): Promise<void> {
    const { context } = this.runtime
    const { request } = message
    context.mergeHeader(message.header)
    this.inFlight++
    try {
      if ('service' in message && !message.isTicket) this.checkIncarnation(message.target)
      const answer = await run()
      context.journal.record({ name: 'call-answered', request, endpoint: this.endpoint, detail: `status ${answer.status}` })
      callback(null, {
        header: context.createHeader(this.inFlight),
        status: answer.status,
        headers: answer.headers,
        body: Buffer.from(answer.body, 'base64')
      })
    } catch (error) {
      const kind = getErrorKind(error)
      const outcome = getErrorOutcome(error)
      context.metrics.count(`service_errors_total{kind="${kind}"}`)
      context.journal.record({ name: 'call-failed', request, endpoint: this.endpoint, detail: `${kind}, ${outcome}` })
      const claim = error instanceof ClaimedElsewhereError ? error : undefined
      callback(null, {
        header: context.createHeader(this.inFlight),
        kind,
        outcome,
        message: getErrorMessage(error),
        holder: claim?.holder ?? '',
        holderIncarnation: claim?.incarnation ?? ''
      })
    } finally {
      this.inFlight--
    }
  }

  private issueTicket (message: wire.TicketRequest, callback: sendUnaryData<wire.ITicketReply>): void {
    const { context } = this.runtime
    context.mergeHeader(message.header)
    const header = context.createHeader(this.inFlight)
    if (this.isLeaving) callback(null, { header, kind: ErrorKind.leaving, message: `endpoint "${this.endpoint}" is shutting down` })
    else callback(null, { header, ticket: this.tickets.issue() })
  }
}
