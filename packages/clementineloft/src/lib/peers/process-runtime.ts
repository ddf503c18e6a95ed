/**
 * Parts that entries and sidecars have in common: gRPC server, configuration, instance list, admin server and shutdown.
 */
import { Server } from '@grpc/grpc-js'
import type { ChannelCredentials, ServiceDefinition, UntypedServiceImplementation } from '@grpc/grpc-js'
import { ConfigGossip, StoreRecord } from '@clementineloft/coordination'
import type { ConfigSnapshot, ObjectStore } from '@clementineloft/coordination'
import { createError, ErrorKind, getErrorMessage } from '@clementineloft/kernel'
import type { CrashReport } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import { instanceLists, objectStores } from '../adapters/adapters.js'
import { AdminServer } from '../operators/admin-server.js'
import type { ConfigDocument } from '../operators/config-document.js'
import { configKey } from '../operators/config-document.js'
import { peerService } from './grpc-services.js'
import { createPeerHandlers, GrpcPeerTransport } from './peer-service.js'
import type { ProcessContext } from './process-context.js'
import { createChannelCredentials, createServerCredentials } from './process-credentials.js'
import { grpcChannelOptions } from '../endpoints/stage-link.js'

const drainPollIntervalMs = 50

/** Creates, starts and stops the common parts of a process. */
export class ProcessRuntime {
  readonly store: ObjectStore
  readonly configRecord: StoreRecord<ConfigSnapshot<ConfigDocument>>
  readonly admin: AdminServer
  readonly transport: GrpcPeerTransport
  private readonly server = new Server(grpcChannelOptions)
  private readonly gossip: ConfigGossip<ConfigDocument>
  private isStopped = false
  private isPlatformUnavailable = false

  /** Credentials of the client for calls to other processes. */
  readonly channelCredentials: ChannelCredentials

  /** @param context - shared parts of this process */
  constructor (readonly context: ProcessContext) {
    const { settings, clock, random, metrics, replica, membership } = context
    const { platform, instance, spread } = settings
    this.store = objectStores.get(platform.adapter)(platform.store_url, platform.timeout_ms, metrics)
    this.configRecord = new StoreRecord(this.store, configKey, clock)
    this.channelCredentials = createChannelCredentials(settings.tls)
    this.transport = new GrpcPeerTransport(context, this.channelCredentials)
    const ownInstance = { name: instance.name, dataCentre: instance.data_centre }
    this.gossip = new ConfigGossip(
      ownInstance, replica, this.configRecord, membership, this.transport, clock, random,
      {
        exchangeIntervalMs: spread.exchange_interval_ms,
        neighbours: spread.neighbours,
        watchersPerDataCentre: spread.watchers_per_data_centre
      },
      (message) => { this.reportPlatformFailure(message) }
    )
    this.admin = new AdminServer(context)
    this.addService(peerService, createPeerHandlers(context, (header) => { this.fetchNewerConfig(header) }, async (report) => { await this.broadcastCrash(report) }))
  }

  /**
   * @param definition - a gRPC service
   * @param handlers - its implementation
   */
  addService (definition: ServiceDefinition, handlers: UntypedServiceImplementation): void {
    this.server.addService(definition, handlers)
  }

  /** Starts the servers, the exchange of the configuration and the polling of the instance list. */
  async start (): Promise<void> {
    const { context } = this
    const { instance } = context.settings
    context.replica.subscribe((_, revision) => {
      this.isPlatformUnavailable = false
      context.journal.record({ name: 'config-applied', detail: `revision ${revision}` })
      context.log.info({ event: 'config-applied', revision })
    })
    await this.listen(instance.address)
    await this.admin.listen(instance.admin_address)
    void this.pollInstances()
    this.gossip.start()
  }

  /**
   * Forwards a crash report to the neighbours; this does not depend on the store.
   *
   * @param report - report of the crash; one that is already known is not forwarded again
   * @returns a promise that resolves when the neighbours, and transitively their neighbours, have answered or failed
   */
  async broadcastCrash (report: CrashReport): Promise<void> {
    if (!this.context.crashes.record(report)) return
    const neighbours = this.gossip.listNeighbours()
    await Promise.allSettled(neighbours.map(async (peer) => { await this.transport.sendCrash(peer, report) }))
  }

  /**
   * Waits until the work in flight has ended or the time limit is reached, then stops this process.
   *
   * @param countInFlight - returns the number of requests or calls in flight
   * @param maxWaitMs - maximum time to wait, in milliseconds
   */
  async drain (countInFlight: () => number, maxWaitMs: number): Promise<void> {
    const { clock, log } = this.context
    const endMs = clock.now() + maxWaitMs
    while (countInFlight() > 0 && clock.now() < endMs) {
      await new Promise((resolve) => { setTimeout(resolve, drainPollIntervalMs) })
    }
    log.info({ event: 'stopped', left: countInFlight() })
    this.isStopped = true
    this.gossip.stop()
    this.transport.close()
    this.server.forceShutdown()
    this.admin.close()
  }

  /** Marks this process as leaving and notifies its neighbours; other processes learn it from the next message header. */
  startLeaving (): void {
    const { context } = this
    if (context.isLeaving) return
    context.isLeaving = true
    context.journal.record({ name: 'leaving' })
    context.log.info({ event: 'leaving' })
    for (const peer of this.gossip.listNeighbours()) this.transport.callPeer(peer.address, '').catch(() => {})
  }

  private listen (address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, createServerCredentials(this.context.settings.tls), (error) => {
        if (error === null) resolve()
        else reject(createError(ErrorKind.settingsInvalid, `cannot listen on "${address}": ${error.message}`))
      })
    })
  }

  private fetchNewerConfig (header: wire.IHeader): void {
    const { replica } = this.context
    this.transport.callPeer(header.address ?? '', '').then(
      (update) => { replica.apply(update) },
      () => { /* The next periodic exchange fetches the revision. */ }
    )
  }

  private async pollInstances (): Promise<void> {
    const { settings, clock, membership, random, journal } = this.context
    const { platform } = settings
    const list = instanceLists.get(platform.adapter)(platform.list_url, platform.timeout_ms)
    while (!this.isStopped) {
      try {
        const listing = await list.fetch(membership.getVersion())
        if (listing !== undefined) {
          membership.apply(listing)
          journal.record({ name: 'instances-listed', detail: `${listing.instances.length} instances` })
        }
      } catch (error) {
        this.context.metrics.count('instance_list_errors_total')
        this.reportPlatformFailure(getErrorMessage(error))
      }
      await clock.wait(platform.list_interval_ms * (0.5 + random.next()))
    }
  }

  private reportPlatformFailure (message: string): void {
    if (this.isPlatformUnavailable) return
    this.isPlatformUnavailable = true
    this.context.log.warn({ event: 'platform-unavailable', message })
  }
}
