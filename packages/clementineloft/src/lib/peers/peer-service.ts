/**
 * Comparison of configuration revisions between processes, and the spreading of crash reports.
 */
import type { ChannelCredentials, sendUnaryData, ServerUnaryCall, UntypedServiceImplementation } from '@grpc/grpc-js'
import { PeerTransport } from '@clementineloft/coordination'
import type { ConfigUpdate, Instance } from '@clementineloft/coordination'
import type { CrashReport } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import type { ConfigDocument } from '../operators/config-document.js'
import { peerService } from './grpc-services.js'
import type { ProcessContext } from './process-context.js'
import { UnaryClient } from './unary-client.js'

const exchangeTimeoutMs = 2000
const maxConnections = 16

/** Calls peers over kept connections, of which the least used are closed, so that no process has one to every other. */
export class GrpcPeerTransport extends PeerTransport<ConfigDocument> {
  private readonly clients = new Map<string, UnaryClient>()

  constructor (
    private readonly context: ProcessContext,
    private readonly channelCredentials: ChannelCredentials
  ) {
    super()
  }

  override async exchange (peer: Instance): Promise<ConfigUpdate<ConfigDocument>> {
    return await this.callPeer(peer.address, '')
  }

  /**
   * Tells a peer of a crash.
   *
   * @param peer - the instance to tell
   * @param report - the crash
   */
  async sendCrash (peer: Instance, report: CrashReport): Promise<void> {
    await this.callPeer(peer.address, JSON.stringify([report]))
  }

  /**
   * Asks the process at an address for what it has beyond the revision held here.
   *
   * @param address - address of the process, `ip:port`
   * @param crashesJson - crash reports for the peer as JSON; empty for none
   */
  async callPeer (address: string, crashesJson: string): Promise<ConfigUpdate<ConfigDocument>> {
    const client = this.getClient(address)
    this.context.metrics.count('peer_exchanges_total')
    const message = { header: this.context.createHeader(), crashesJson }
    const reply = await client.call(peerService.exchange, message, exchangeTimeoutMs)
    this.context.mergeHeader(reply.header)
    return reply.updateJson === '' ? {} : JSON.parse(reply.updateJson) as ConfigUpdate<ConfigDocument>
  }

  /** Closes all connections. */
  close (): void {
    for (const client of this.clients.values()) client.close()
    this.clients.clear()
  }

  private getClient (address: string): UnaryClient {
    const client = this.clients.get(address) ?? new UnaryClient(address, this.channelCredentials)
    this.clients.delete(address)
    this.clients.set(address, client)
    const [oldest] = this.clients.keys()
    if (this.clients.size > maxConnections && oldest !== undefined) this.retire(oldest)
    return client
  }

  /** Closes a connection once a call that may still use it has ended. */
  private retire (address: string): void {
    const client = this.clients.get(address)
    this.clients.delete(address)
    this.context.clock.schedule(exchangeTimeoutMs, () => { client?.close() })
  }
}

/**
 * @param context - parts of this process
 * @param handleNewer - called with the sender when it holds a newer revision
 * @param handleCrash - passes news of a crash on; the sender is answered when it has been
 * @returns the implementation of the peer service
 */
export const createPeerHandlers = (
  context: ProcessContext,
  handleNewer: (header: wire.IHeader) => void,
  handleCrash: (report: CrashReport) => Promise<void>
): UntypedServiceImplementation => {
  const createReply = (revision: number): wire.IExchangeReply => {
    const update = context.replica.createUpdate(revision)
    const isEmpty = update.changes === undefined && update.snapshot === undefined
    return { header: context.createHeader(), updateJson: isEmpty ? '' : JSON.stringify(update) }
  }
  return {
    exchange: (
      call: ServerUnaryCall<wire.ExchangeRequest, wire.IExchangeReply>,
      callback: sendUnaryData<wire.IExchangeReply>
    ) => {
      const { header, crashesJson } = call.request
      const revision = header?.revision ?? 0
      context.mergeHeader(header)
      if (header != null && revision > context.replica.getRevision()) handleNewer(header)
      const reports = crashesJson === '' ? [] : JSON.parse(crashesJson) as CrashReport[]
      void Promise.all(reports.map(handleCrash)).then(() => { callback(null, createReply(revision)) })
    }
  }
}
