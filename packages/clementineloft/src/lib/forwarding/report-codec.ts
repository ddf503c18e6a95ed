/**
 * Encodes reports of model endpoints for datagrams. Each goes to every entry several times a second, so that its length
 * counts: a quarter of the same in JSON.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { EndpointReport } from '@clementineloft/routing'
import { clementineloft as wire } from '../../../generated/report.js'

/** Checksums of copies of the platform's objects, as a process holds them that watches the latest state. */
export interface ReplicaChecksums {
  endpoints: number
  config: number
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

/** @returns the bytes of a datagram */
export const encodeReport = ({ report, ...message }: ReportMessage): Uint8Array =>
  wire.ReportDatagram.encode({ ...message, ...(report === undefined ? {} : { report: formatReport(report) }) }).finish()

/**
 * @returns the message in a datagram
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
