/**
 * Reports of model endpoints from their sidecars to all entries, as datagrams: each report replaces the one before, so
 * that a lost one does no harm, and no connection for each pair of processes is needed.
 *
 * An entry asks every sidecar once a second; a sidecar sends to whoever has asked lately. The holder of the lease asks as
 * well, and tells each sidecar with it which layers its endpoint shall hold.
 */
import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import { getErrorMessage } from '@clementineloft/kernel'
import type { Clock, Journal } from '@clementineloft/kernel'
import type { EndpointReport } from '@clementineloft/routing'
import { decodeReport, decodeRequest, encodeReport, encodeRequest } from './report-codec.js'
import type { ReplicaChecksums, ReportMessage, ReportRequest } from './report-codec.js'

/** Time between two requests for reports, in milliseconds. */
const renewalIntervalMs = 1000
/** Time for which a request for reports holds, in milliseconds: two of them may be lost. */
const subscriptionTtlMs = 3500

/** @returns the host of an address */
export const getHost = (address: string): string => address.slice(0, address.lastIndexOf(':'))

const openSocket = (address: string, journal: Journal, handle: (bytes: Buffer, from: RemoteInfo) => void): Socket => {
  const [host, port] = address.split(':') as [string, string]
  const socket = createSocket('udp4')
  socket.on('error', (error) => { journal.record({ name: 'reports-unavailable', detail: getErrorMessage(error) }) })
  socket.on('message', (message, from) => { handle(message, from) })
  socket.bind(Number(port), host)
  return socket
}

/** The sidecar's end. */
export class ReportSender {
  private readonly socket: Socket
  private readonly subscribers = new Map<string, { host: string, port: number, untilMs: number }>()
  private number = 0

  /**
   * @param address - own address
   * @param handleRequest - receives each request that can be read
   */
  constructor (
    address: string,
    private readonly incarnation: string,
    private readonly clock: Clock,
    private readonly journal: Journal,
    handleRequest: (request: ReportRequest) => void
  ) {
    this.socket = openSocket(address, journal, (bytes, from) => {
      const request = this.parse(bytes)
      if (request === undefined) return
      this.subscribers.set(`${from.address}:${from.port}`, { host: from.address, port: from.port, untilMs: clock.now() + subscriptionTtlMs })
      handleRequest(request)
    })
  }

  /** Sends a report to all entries that have asked. */
  send (address: string, report: EndpointReport | undefined, checksums: ReplicaChecksums | undefined): void {
    const nowMs = this.clock.now()
    for (const [key, subscriber] of this.subscribers) {
      if (subscriber.untilMs < nowMs) this.subscribers.delete(key)
    }
    if (this.subscribers.size === 0) return
    const message: ReportMessage = {
      address,
      entries: this.subscribers.size,
      number: ++this.number,
      incarnation: this.incarnation,
      ...(report === undefined ? {} : { report }),
      ...(checksums === undefined ? {} : { checksums })
    }
    const bytes = encodeReport(message)
    for (const { host, port } of this.subscribers.values()) this.socket.send(bytes, port, host, () => { /* The next report follows. */ })
  }

  /** Closes the socket. */
  close (): void {
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

/** The entry's end. */
export class ReportReceiver {
  private readonly socket: Socket
  private readonly latest = new Map<string, { incarnation: string, number: number }>()
  private readonly timer: NodeJS.Timeout

  /**
   * @param address - own address
   * @param listRequests - what to ask of which endpoint's sidecar
   * @param sidecarPort - port of all sidecars
   * @param apply - receives each message that is newer than those before
   */
  constructor (
    address: string,
    private readonly listRequests: () => ReportRequest[],
    private readonly sidecarPort: number,
    apply: (message: ReportMessage) => void,
    private readonly journal: Journal
  ) {
    this.socket = openSocket(address, journal, (bytes) => {
      const message = this.parse(bytes)
      if (message !== undefined) apply(message)
    })
    this.timer = setInterval(() => { this.renewSubscriptions() }, renewalIntervalMs)
  }

  /** Asks all sidecars for reports. */
  renewSubscriptions (): void {
    for (const request of this.listRequests()) {
      this.socket.send(encodeRequest(request), this.sidecarPort, getHost(request.address), () => { /* Asked again in a second. */ })
    }
  }

  /** Closes the socket. */
  close (): void {
    clearInterval(this.timer)
    this.socket.close()
  }

  private parse (bytes: Buffer): ReportMessage | undefined {
    try {
      const message = decodeReport(bytes)
      const latest = this.latest.get(message.address)
      const isOutdated = latest !== undefined && latest.incarnation === message.incarnation && message.number <= latest.number
      if (isOutdated) return undefined
      this.latest.set(message.address, { incarnation: message.incarnation, number: message.number })
      return message
    } catch (error) {
      this.journal.record({ name: 'report-unreadable', detail: getErrorMessage(error) })
      return undefined
    }
  }
}
