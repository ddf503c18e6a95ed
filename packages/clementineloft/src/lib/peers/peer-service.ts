/**
 * Exchange of configuration revisions and crash reports between processes.
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

/**
 * Calls peers over persistent connections. The least recently used connection above the limit is closed, so that a
 * process does not hold one to every other process.
 */
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
   * Sends a crash report to a peer.
   *
   * @param peer - the instance to notify
   * @param report - report of the crash
   */
  async sendCrash (peer: Instance, report: CrashReport): Promise<void> {
    await this.callPeer(peer.address, JSON.stringify([report]))
  }

  /**
   * Requests the configuration changes after the revision held by this process.
   *
   * @param address - address of the process, `ip:port`
   * @param crashesJson - crash reports for the peer as JSON; empty for none
   * @returns the changes or a snapshot; empty if the peer has no newer revision
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
    const [leastRecentlyUsed] = this.clients.keys()
    if (this.clients.size > maxConnections && leastRecentlyUsed !== undefined) this.scheduleClose(leastRecentlyUsed)
    return client
  }

  /** Removes a connection and closes it after the call timeout, when no call can use it any more. */
  private scheduleClose (address: string): void {
    const client = this.clients.get(address)
    this.clients.delete(address)
    this.context.clock.schedule(exchangeTimeoutMs, () => { client?.close() })
  }
}

/**
 * @param context - shared parts of this process
 * @param handleNewerRevision - called with the header of a sender that holds a newer revision
 * @param handleCrash - forwards a crash report; the sender is answered when the promise resolves
 * @returns the implementation of the peer service
 */
export const createPeerHandlers = (
  context: ProcessContext,
  handleNewerRevision: (header: wire.IHeader) => void,
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
      if (header != null && revision > context.replica.getRevision()) handleNewerRevision(header)
      const reports = crashesJson === '' ? [] : JSON.parse(crashesJson) as CrashReport[]
      void Promise.all(reports.map(handleCrash)).then(() => { callback(null, createReply(revision)) })
    }
  }
}
