/**
 * Sends reports of model endpoints from their sidecars to all entries as UDP datagrams. Each report replaces the previous
 * one, so that a lost datagram needs no retransmission and no connection per pair of processes is needed.
 *
 * Report requests act as subscriptions: an entry sends one to every sidecar once a second, and a sidecar sends its
 * reports to all recent subscribers. The lease holder subscribes as well, and its requests carry the layers assigned to
 * each endpoint.
 */
import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import { getErrorMessage } from '@clementineloft/kernel'
import type { Clock, Journal, RandomSource } from '@clementineloft/kernel'
import type { CrashNotice, EndpointReport, RankLoad } from '@clementineloft/routing'
import { decodeReport, decodeRequest, encodeReport, encodeRequest } from './report-codec.js'
import type { ReplicaChecksums, ReportMessage, ReportRequest } from './report-codec.js'

/** Time between two report requests, in milliseconds. */
const renewalIntervalMs = 1000
/** Number of sidecars that pass an urgent message on: two of them may be lost. */
const relayCount = 4
/** Time for which a report request keeps a subscription alive, in milliseconds: two requests in a row may be lost. */
const subscriptionTtlMs = 3500

/** @returns the host part of `host:port` */
export const getHost = (address: string): string => address.slice(0, address.lastIndexOf(':'))

/** @returns requests to some sidecars, which pass an urgent message on to all entries */
export const pickRelays = (requests: readonly ReportRequest[], random: RandomSource): ReportRequest[] => {
  const first = Math.floor(random.next() * requests.length)
  return [...requests.slice(first), ...requests.slice(0, first)].slice(0, relayCount)
}

const openSocket = (address: string, journal: Journal, handle: (bytes: Buffer, from: RemoteInfo) => void): Socket => {
  const [host, port] = address.split(':') as [string, string]
  const socket = createSocket('udp4')
  socket.on('error', (error) => { journal.record({ name: 'reports-unavailable', detail: getErrorMessage(error) }) })
  socket.on('message', (message, from) => { handle(message, from) })
  socket.bind(Number(port), host)
  return socket
}

/** Sending side, in the sidecar: keeps the subscriptions and sends reports to them. */
export class ReportSender {
  private readonly socket: Socket
  private readonly subscribers = new Map<string, { host: string, port: number, untilMs: number }>()
  private number = 0
  private isClosed = false

  /**
   * @param address - local address to bind, `ip:port`
   * @param incarnation - incarnation of this sidecar
   * @param handleRequest - receives each valid request and the address of its sender
   */
  constructor (
    address: string,
    private readonly incarnation: string,
    private readonly clock: Clock,
    private readonly journal: Journal,
    handleRequest: (request: ReportRequest, sender: string) => void
  ) {
    this.socket = openSocket(address, journal, (bytes, from) => {
      const request = this.parse(bytes)
      if (request === undefined) return
      const sender = `${from.address}:${from.port}`
      this.subscribers.set(sender, { host: from.address, port: from.port, untilMs: clock.now() + subscriptionTtlMs })
      handleRequest(request, sender)
    })
  }

  /**
   * Sends a report to all subscribers whose subscription has not expired.
   *
   * @param crashes - notices to pass on with the report
   * @param waiting - calls that wait in all entries; `undefined` if none have waited lately
   */
  send (
    address: string,
    report: EndpointReport | undefined,
    checksums: ReplicaChecksums | undefined,
    crashes: CrashNotice[],
    waiting: RankLoad[] | undefined
  ): void {
    this.sendMessage({
      address,
      number: ++this.number,
      incarnation: this.incarnation,
      crashes,
      ...(report === undefined ? {} : { report }),
      ...(checksums === undefined ? {} : { checksums }),
      ...(waiting === undefined ? {} : { waiting })
    })
  }

  /** Sends notices of crashes at once, without a report. */
  sendCrashes (address: string, crashes: CrashNotice[]): void {
    const { incarnation, number } = this
    this.sendMessage({ address, number, incarnation, crashes, isCrashesOnly: true })
  }

  private sendMessage (message: Omit<ReportMessage, 'entries'>): void {
    const nowMs = this.clock.now()
    for (const [key, subscriber] of this.subscribers) {
      if (subscriber.untilMs < nowMs) this.subscribers.delete(key)
    }
    if (this.isClosed || this.subscribers.size === 0) return
    const bytes = encodeReport({ ...message, entries: this.subscribers.size })
    for (const { host, port } of this.subscribers.values()) this.socket.send(bytes, port, host, () => { /* The next report replaces a lost one. */ })
  }

  /** Closes the socket; reports that are sent later are dropped. */
  close (): void {
    this.isClosed = true
    this.socket.close()
  }

  private parse (bytes: Buffer): ReportRequest | undefined {
    try {
      return decodeRequest(bytes)
    } catch (error) {
      this.journal.record({ name: 'report-request-unreadable', detail: getErrorMessage(error) })
      return undefined
    }
  }
}

/** Receiving side, in an entry or the lease holder: renews the subscriptions and discards outdated reports. */
export class ReportReceiver {
  private readonly socket: Socket
  private readonly latest = new Map<string, { incarnation: string, number: number }>()
  private readonly timer: NodeJS.Timeout

  /**
   * @param address - local address to bind, `ip:port`
   * @param listRequests - returns the requests to send, one per endpoint
   * @param sidecarPort - port of all sidecars
   * @param apply - receives each report that is newer than the previous one of its endpoint
   * @param applyCrashes - receives notices of crashes; ignored if absent
   */
  constructor (
    address: string,
    private readonly listRequests: () => ReportRequest[],
    private readonly sidecarPort: number,
    apply: (message: ReportMessage) => void,
    private readonly journal: Journal,
    applyCrashes?: (notices: readonly CrashNotice[]) => void
  ) {
    this.socket = openSocket(address, journal, (bytes) => {
      const message = this.parse(bytes)
      if (message?.crashes !== undefined) applyCrashes?.(message.crashes)
      if (message !== undefined && message.isCrashesOnly === undefined && this.isNewer(message)) apply(message)
    })
    this.timer = setInterval(() => { this.renewSubscriptions() }, renewalIntervalMs)
  }

  /** Sends a report request to every sidecar, which renews the subscription there. */
  renewSubscriptions (): void {
    for (const request of this.listRequests()) this.sendRequest(request)
  }

  /** Sends notices of crashes at once to some sidecars, which pass them on to all entries. */
  sendCrashes (crashes: CrashNotice[], random: RandomSource): void {
    for (const request of pickRelays(this.listRequests(), random)) this.sendRequest({ ...request, crashes })
  }

  /** Sends requests at once, besides those that renew the subscriptions. */
  sendRequests (requests: readonly ReportRequest[]): void {
    for (const request of requests) this.sendRequest(request)
  }

  /** Closes the socket. */
  close (): void {
    clearInterval(this.timer)
    this.socket.close()
  }

  private sendRequest (request: ReportRequest): void {
    this.socket.send(encodeRequest(request), this.sidecarPort, getHost(request.address), () => { /* The request is sent again after the interval. */ })
  }

  private isNewer ({ address, incarnation, number }: ReportMessage): boolean {
    const latest = this.latest.get(address)
    if (latest !== undefined && latest.incarnation === incarnation && number <= latest.number) return false
    this.latest.set(address, { incarnation, number })
    return true
  }

  private parse (bytes: Buffer): ReportMessage | undefined {
    try {
      return decodeReport(bytes)
    } catch (error) {
      this.journal.record({ name: 'report-unreadable', detail: getErrorMessage(error) })
      return undefined
    }
  }
}
