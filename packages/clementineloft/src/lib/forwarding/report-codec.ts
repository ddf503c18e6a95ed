/**
 * Encodes reports of model endpoints for datagrams. Each goes to every entry several times a second, so that its length
 * counts: a quarter of the same in JSON.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { EndpointReport, LayerSpan } from '@clementineloft/routing'
import { clementineloft as wire } from '../../../generated/report.js'

/** Checksums of copies of the platform's objects, as a process holds them that watches the latest state. */
export interface ReplicaChecksums {
  endpoints: number
  config: number
}

/** The layers that a layout gives one endpoint. */
export interface EndpointAssignment {
  /** Revision of the layout; the fencing number of orders that follow it. */
  revision: number
  span: LayerSpan
}

/** What an entry, or the holder of the lease, asks a sidecar for: reports of its endpoint. */
export interface ReportRequest {
  /** Address of the endpoint. */
  address: string
  /** Present in requests of the holder of the lease. */
  assignment?: EndpointAssignment
}

/** What a sidecar tells entries. */
export interface ReportMessage {
  /** Address of the endpoint. */
  address: string
  /** Its state; absent while it does not answer. */
  report?: EndpointReport
  /** Present in messages of the sidecar that keeps the layout. */
  checksums?: ReplicaChecksums
  /** Number of entries that receive the message. */
  entries: number
  /** Grows with each message of one sidecar, so that a late one is known. */
  number: number
  /** Incarnation of the sidecar, with which the numbers begin anew. */
  incarnation: string
}

const formatReport = ({ layers, ...report }: EndpointReport): wire.IEndpointReport => ({
  ...report, ...(layers === undefined ? {} : { fromLayer: layers.from, toLayer: layers.to })
})

const parseReport = ({ fromLayer: from, toLayer: to, ...report }: wire.EndpointReport): EndpointReport => ({
  bornMs: report.bornMs,
  ...(to > from ? { layers: { from, to } } : {}),
  active: report.active,
  queued: report.queued,
  usedTokenLayers: report.usedTokenLayers,
  totalTokenLayers: report.totalTokenLayers,
  pace: report.pace
})

/** @returns the bytes of a request */
export const encodeRequest = ({ address, assignment }: ReportRequest): Uint8Array => {
  if (assignment === undefined) return wire.ReportRequest.encode({ address }).finish()
  const { revision, span } = assignment
  return wire.ReportRequest.encode({ address, assignment: { revision, fromLayer: span.from, toLayer: span.to } }).finish()
}

/**
 * @returns the request in a datagram
 * @throws `bad-request` if it holds none
 */
export const decodeRequest = (bytes: Uint8Array): ReportRequest => {
  let request: wire.ReportRequest
  try {
    request = wire.ReportRequest.decode(bytes)
  } catch (error) {
    throw createError(ErrorKind.badRequest, 'the datagram is not a request for reports', { cause: error })
  }
  const { address, assignment } = request
  if (address === '') throw createError(ErrorKind.badRequest, 'the request names no endpoint')
  if (assignment == null) return { address }
  const { revision, fromLayer: from, toLayer: to } = assignment as wire.LayerAssignment
  if (revision <= 0 || to <= from) throw createError(ErrorKind.badRequest, `layers ${from} to ${to} of layout ${revision} are no assignment`)
  return { address, assignment: { revision, span: { from, to } } }
}

/** @returns the bytes of a report */
export const encodeReport = ({ report, ...message }: ReportMessage): Uint8Array =>
  wire.ReportDatagram.encode({ ...message, ...(report === undefined ? {} : { report: formatReport(report) }) }).finish()

/**
 * @returns the report in a datagram
 * @throws `bad-request` if it holds none
 */
export const decodeReport = (bytes: Uint8Array): ReportMessage => {
  let datagram: wire.ReportDatagram
  try {
    datagram = wire.ReportDatagram.decode(bytes)
  } catch (error) {
    throw createError(ErrorKind.badRequest, 'the datagram is not a report', { cause: error })
  }
  const { address, report, checksums, entries, number, incarnation } = datagram
  if (address === '') throw createError(ErrorKind.badRequest, 'the report names no endpoint')
  return {
    address,
    entries,
    number,
    incarnation,
    ...(report == null ? {} : { report: parseReport(report as wire.EndpointReport) }),
    ...(checksums == null ? {} : { checksums: { endpoints: checksums.endpoints ?? 0, config: checksums.config ?? 0 } })
  }
}
