/**
 * What one entry knows of the work at model endpoints, and the costs of a path that follow from it.
 *
 * Answers the load pattern of several entries that send to the same endpoints and see each other's requests only in
 * reports some hundred milliseconds old: every other entry is expected to have sent since a report what this one sends
 * in that time at its mean rate, or what it has sent if that is more, so that they do not fill an endpoint together.
 */
import type { Clock } from '@clementineloft/kernel'
import type { AcceleratorType, EngineTerms } from '../calls/call-terms.js'
import type { CallEndpoint, LayerSpan } from '../calls/call-endpoint.js'
import type { EndpointReport } from '../calls/endpoint-report.js'
import { LinkLoads } from './link-loads.js'
import type { EstimateHop, PathCandidate, PathPart } from './layer-path.js'
import { SendingRate } from './sending-rate.js'
import type { SentWork } from './sending-rate.js'

/** Size of one request. */
export interface RequestSize {
  promptTokens: number
  /** Tokens that the answer is expected to have. */
  answerTokens: number
}

/** What an endpoint reported, and what this entry has sent there since. */
interface Work {
  report: EndpointReport | undefined
  reportedMs: number
  /** What this entry has sent since the report. */
  sent: SentWork
  /** How fast this entry sends. */
  rate: SendingRate
  /** Requests of this entry that are there now, and their memory. */
  ownRequests: number
  ownTokenLayers: number
}

const bytesPerMegabyte = 1_000_000
const bitsPerByte = 8
/** Part of the memory for requests that is filled; the rest takes answers that grow longer than expected. */
const usableShare = 0.9
/** Delay of a token from one endpoint to the next, in milliseconds: inside a data centre, and between two. */
const hopMs = { near: 0.3, far: 3 } as const
/** Time counted for a first part in another data centre than the entry, in milliseconds. */
const remoteEntryMs = 40
/** Age from which a report no longer counts, in milliseconds: its sidecar sends one a second at least. */
const reportLifeMs = 2500
const millisecondsPerSecond = 1000

/** Work at model endpoints as one entry sees it. */
export class PathCosts {
  private readonly works = new Map<string, Work>()
  private readonly links: LinkLoads
  private entries = 1

  constructor (private readonly clock: Clock) {
    this.links = new LinkLoads(clock)
  }

  /** Notes a request that begins on a path. */
  recordStart (path: readonly PathPart[], size: RequestSize): void {
    for (const { endpoint, from, to } of path) {
      const work = this.getWork(endpoint.id)
      const tokenLayers = (size.promptTokens + size.answerTokens) * (to - from)
      work.sent.requests++
      work.sent.tokenLayers += tokenLayers
      work.rate.record(tokenLayers, this.clock.now())
      work.ownRequests++
      work.ownTokenLayers += tokenLayers
    }
  }

  /** Notes that a request on a path has ended. */
  recordEnd (path: readonly PathPart[], size: RequestSize): void {
    for (const { endpoint, from, to } of path) {
      const work = this.getWork(endpoint.id)
      work.ownRequests = Math.max(0, work.ownRequests - 1)
      work.ownTokenLayers = Math.max(0, work.ownTokenLayers - (size.promptTokens + size.answerTokens) * (to - from))
    }
  }

  /** Notes what a request on a path sends over links between data centres. */
  recordTransfers (path: readonly PathPart[], engine: EngineTerms, size: RequestSize): void {
    for (const [index, part] of path.entries()) {
      const next = path[index + 1]?.endpoint.dataCentre ?? part.endpoint.dataCentre
      if (next !== part.endpoint.dataCentre) this.links.record(part.endpoint.dataCentre, next, computeTransfer(engine, size))
    }
  }

  /** @returns the time to hand a request of a size from one endpoint to another */
  createHopEstimate (engine: EngineTerms, size: RequestSize): EstimateHop {
    const transferMs = computeTransfer(engine, size) / engine.dataCentreLinkMbps * millisecondsPerSecond
    const nearMs = size.answerTokens * hopMs.near
    const farMs = size.answerTokens * hopMs.far
    return (from, to) => {
      if (from.dataCentre === to.dataCentre) return nearMs
      return farMs + transferMs * this.links.estimateDelayFactor(from.dataCentre, to.dataCentre, engine.dataCentreLinkMbps, this.entries)
    }
  }

  /**
   * Notes a report.
   *
   * @param id - identity of the endpoint
   * @param entries - entries to which the report goes
   */
  recordReport (id: string, report: EndpointReport, entries: number): void {
    const work = this.getWork(id)
    work.report = report
    work.reportedMs = this.clock.now()
    work.sent = { requests: 0, tokenLayers: 0 }
    this.entries = Math.max(1, entries)
  }

  /** @returns entries that send to the same endpoints, as the last report said */
  countEntries (): number {
    return this.entries
  }

  /** @param ids - endpoints that still exist; all others are forgotten */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.works.keys()) {
      if (!ids.has(id)) this.works.delete(id)
    }
  }

  /** @returns the last report of an endpoint that is still recent, or `undefined` */
  findReport (id: string): EndpointReport | undefined {
    const work = this.works.get(id)
    return work !== undefined && this.clock.now() - work.reportedMs < reportLifeMs ? work.report : undefined
  }

  /**
   * @param engine - the model
   * @param size - the request to place
   * @param dataCentre - data centre of this entry
   * @returns what it would take to run the request at an endpoint; `undefined` if it has no room
   */
  createCandidate (
    endpoint: CallEndpoint,
    type: AcceleratorType,
    engine: EngineTerms,
    size: RequestSize,
    dataCentre: string
  ): PathCandidate | undefined {
    const span = endpoint.layers as LayerSpan
    const report = this.findReport(endpoint.id)
    const total = report?.totalTokenLayers ?? computeRoom(span, type, engine)
    const { requests, tokenLayers: used } = this.estimateWork(endpoint.id)
    const needed = size.promptTokens * (span.to - span.from)
    if (used + needed > total * usableShare) return undefined
    if (span.from === 0 && requests >= engine.slots) return undefined
    const pace = Math.max(1, report?.pace ?? 1)
    const stepMs = type.stepFactor * (engine.stepMs + engine.requestStepMs * requests)
    const readMs = type.readFactor * millisecondsPerSecond / engine.promptTokensPerSecond
    const crowding = 1 + used / total
    const layerMs = pace * crowding * (size.answerTokens * stepMs + size.promptTokens * readMs * (1 + requests / 10)) / engine.layers
    return { endpoint, span, layerMs, entryMs: endpoint.dataCentre === dataCentre ? 0 : remoteEntryMs }
  }

  /** @returns work that is expected to be at an endpoint now */
  private estimateWork (id: string): SentWork {
    const work = this.works.get(id)
    if (work === undefined) return { requests: 0, tokenLayers: 0 }
    const report = this.findReport(id)
    if (report === undefined) return { requests: work.ownRequests * this.entries, tokenLayers: work.ownTokenLayers * this.entries }
    const nowMs = this.clock.now()
    const others = work.rate.estimate((nowMs - work.reportedMs) * (this.entries - 1), nowMs)
    return {
      requests: report.active + report.queued + work.sent.requests + Math.max(others.requests, work.sent.requests * (this.entries - 1)),
      tokenLayers: report.usedTokenLayers + work.sent.tokenLayers + Math.max(others.tokenLayers, work.sent.tokenLayers * (this.entries - 1))
    }
  }

  private getWork (id: string): Work {
    const known = this.works.get(id)
    if (known !== undefined) return known
    const work: Work = {
      report: undefined,
      reportedMs: -Infinity,
      sent: { requests: 0, tokenLayers: 0 },
      rate: new SendingRate(),
      ownRequests: 0,
      ownTokenLayers: 0
    }
    this.works.set(id, work)
    return work
  }
}

/** @returns memory for requests, in tokens times layers */
export const computeRoom = (span: LayerSpan, type: AcceleratorType, engine: EngineTerms): number =>
  (type.memoryMb - (span.to - span.from) * engine.layerMb) * bytesPerMegabyte / (engine.tokenBytes / engine.layers)

/** @returns what a request of a size hands from one endpoint to the next, in megabits */
const computeTransfer = (engine: EngineTerms, size: RequestSize): number =>
  (size.promptTokens + size.answerTokens) * engine.activationBytes * bitsPerByte / bytesPerMegabyte
