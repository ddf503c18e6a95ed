/**
 * Encodes reports of model endpoints, and requests for them, as datagrams. Every sidecar sends each entry several reports
 * a second, so the encoding is compact: a quarter of the size of the same report in JSON.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { formatRankLoads, parseRankLoads } from '@clementineloft/routing'
import type { CrashAge, CrashNotice, EndpointReport, LayerSpan, RankLoad } from '@clementineloft/routing'
import { clementineloft as wire } from '../../../generated/report.js'

/** Checksums of the replicas of platform objects in a process that watches their latest state. */
export interface ReplicaChecksums {
  endpoints: number
  config: number
}

/** Layers that a layout assigns to one endpoint. */
export interface EndpointAssignment {
  /** Revision of the layout; serves as the fencing token of orders derived from it. */
  revision: number
  span: LayerSpan
}

/** Request of an entry, or of the lease holder, to a sidecar for reports of its endpoint. */
export interface ReportRequest {
  /** Address of the endpoint. */
  address: string
  /** Assignment of the endpoint; only in requests of the lease holder. */
  assignment?: EndpointAssignment
  /** Crashes that the entry tells all other entries through the sidecar. */
  crashes?: CrashNotice[]
  /** Calls that wait in the entry for the endpoint's service, by rank; absent if none wait or ranks do not matter. */
  waiting?: RankLoad[]
}

/** Report of a sidecar on its endpoint. */
export interface ReportMessage {
  /** Address of the endpoint. */
  address: string
  /** State of the endpoint; absent while it does not answer. */
  report?: EndpointReport
  /** Present in reports of the lease holder. */
  checksums?: ReplicaChecksums
  /** Number of processes that receive the report. */
  entries: number
  /** Sequence number, with which the receiver detects reordered reports of one sidecar. */
  number: number
  /** Incarnation of the sidecar; each incarnation starts its own sequence. */
  incarnation: string
  /** Crashes that the sidecar passes on between entries. */
  crashes?: CrashNotice[]
  /** Whether the datagram only passes on crashes and says nothing about the endpoint. */
  isCrashesOnly?: true
  /** Calls that wait in all entries, by rank; empty if none wait any more, absent if none have waited lately. */
  waiting?: RankLoad[]
}

/** Marks a list of waiting calls that is present and empty, which the encoding of lists cannot tell from an absent one. */
const emptyWaiting = [0, 0, 0]

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

const formatNotice = ({ trait, crashes, companions, answeredAgeMs }: CrashNotice): wire.ICrashNotice => ({
  trait,
  crashes: crashes.map(({ ageMs, heldMs, ...crash }) => ({ ...crash, ageMs: Math.round(ageMs), heldMs: Math.round(heldMs) })),
  companions,
  ...(answeredAgeMs === undefined ? {} : { isAnswered: true, answeredAgeMs: Math.round(answeredAgeMs) })
})

const parseCrash = ({ endpoint, ageMs, heldMs, isBeginning }: wire.CrashAge): CrashAge => ({ endpoint, ageMs, heldMs, isBeginning })

const parseNotice = ({ trait, crashes, companions, isAnswered, answeredAgeMs }: wire.CrashNotice): CrashNotice => {
  if (trait === '') throw createError(ErrorKind.badRequest, 'the crash notice names no trait')
  return {
    trait,
    crashes: crashes.map((crash) => parseCrash(crash as wire.CrashAge)),
    companions,
    ...(isAnswered ? { answeredAgeMs } : {})
  }
}

/** @returns an object with the notices of a datagram; empty if it has none */
const parseNotices = (notices: wire.ICrashNotice[]): { crashes?: CrashNotice[] } =>
  notices.length === 0 ? {} : { crashes: notices.map((notice) => parseNotice(notice as wire.CrashNotice)) }

const formatAssignment = ({ revision, span }: EndpointAssignment): wire.ILayerAssignment =>
  ({ revision, fromLayer: span.from, toLayer: span.to })

/** @returns an object with the waiting calls of a datagram; empty if it says nothing of them */
const parseWaiting = (numbers: number[]): { waiting?: RankLoad[] } => numbers.length === 0 ? {} : { waiting: parseRankLoads(numbers) }

/** @returns the bytes of a request */
export const encodeRequest = ({ address, assignment, crashes = [], waiting = [] }: ReportRequest): Uint8Array =>
  wire.ReportRequest.encode({
    address,
    crashes: crashes.map(formatNotice),
    waiting: formatRankLoads(waiting),
    ...(assignment === undefined ? {} : { assignment: formatAssignment(assignment) })
  }).finish()

/**
 * @returns the request in a datagram
 * @throws `bad-request` if the datagram is not a valid request
 */
export const decodeRequest = (bytes: Uint8Array): ReportRequest => {
  let request: wire.ReportRequest
  try {
    request = wire.ReportRequest.decode(bytes)
  } catch (error) {
    throw createError(ErrorKind.badRequest, 'the datagram is not a valid report request', { cause: error })
  }
  const { address, assignment } = request
  if (address === '') throw createError(ErrorKind.badRequest, 'the report request has no endpoint address')
  const lists = { ...parseNotices(request.crashes), ...parseWaiting(request.waiting) }
  if (assignment == null) return { address, ...lists }
  const { revision, fromLayer: from, toLayer: to } = assignment as wire.LayerAssignment
  if (revision <= 0 || to <= from) throw createError(ErrorKind.badRequest, `layers ${from} to ${to} of layout ${revision} are not a valid assignment`)
  return { address, assignment: { revision, span: { from, to } }, ...lists }
}

/** @returns the bytes of a report */
export const encodeReport = ({ report, crashes = [], waiting, ...message }: ReportMessage): Uint8Array =>
  wire.ReportDatagram.encode({
    ...message,
    crashes: crashes.map(formatNotice),
    waiting: waiting?.length === 0 ? emptyWaiting : formatRankLoads(waiting ?? []),
    ...(report === undefined ? {} : { report: formatReport(report) })
  }).finish()

/**
 * @returns the report in a datagram
 * @throws `bad-request` if the datagram is not a valid report
 */
export const decodeReport = (bytes: Uint8Array): ReportMessage => {
  let datagram: wire.ReportDatagram
  try {
    datagram = wire.ReportDatagram.decode(bytes)
  } catch (error) {
    throw createError(ErrorKind.badRequest, 'the datagram is not a valid report', { cause: error })
  }
  const { address, report, checksums, entries, number, incarnation, isCrashesOnly } = datagram
  if (address === '') throw createError(ErrorKind.badRequest, 'the report has no endpoint address')
  return {
    address,
    entries,
    number,
    incarnation,
    ...(report == null ? {} : { report: parseReport(report as wire.EndpointReport) }),
    ...parseNotices(datagram.crashes),
    ...parseWaiting(datagram.waiting),
    ...(isCrashesOnly ? { isCrashesOnly } : {}),
    ...(checksums == null ? {} : { checksums: { endpoints: checksums.endpoints ?? 0, config: checksums.config ?? 0 } })
  }
}
