/**
 * Tracks the work at model endpoints as one entry knows it, and derives the costs of a path from it.
 *
 * Addresses several entries that send to the same endpoints and learn of each other's requests only from reports that are
 * some hundred milliseconds old. Since the last report, every other entry is assumed to have sent as much as this entry
 * sends in that time at its mean rate, or as much as this entry has actually sent, if that is more. Otherwise the entries
 * would overload an endpoint together.
 */
import type { Clock } from '@clementineloft/kernel'
import type { AcceleratorType, EngineConfig } from '../calls/call-config.js'
import type { CallEndpoint, LayerSpan } from '../calls/call-endpoint.js'
import type { EndpointReport } from '../calls/endpoint-report.js'
import { estimateGrowth } from './answer-reserve.js'
import { createEndpointWork } from './endpoint-work.js'
import type { EndpointWork } from './endpoint-work.js'
import { LinkLoads } from './link-loads.js'
import type { EstimateHop, PathCandidate, PathPart } from './layer-path.js'
import type { SentWork } from './sending-rate.js'

/** Size of one request. */
export interface RequestSize {
  promptTokens: number
  /** Expected number of tokens of the answer. */
  answerTokens: number
}

const bytesPerMegabyte = 1_000_000
const bitsPerByte = 8
/** Maximum fraction of request memory to fill; the rest is reserved for answers that exceed their expected length. */
const maxFillRatio = 0.9
/** Delay of a token from one endpoint to the next, in milliseconds, within a data centre and between two. */
const hopMs = { local: 0.3, remote: 3 } as const
/** Cost of a first part in another data centre than the entry, in milliseconds. */
const remoteEntryPenaltyMs = 40
/** Age at which a report expires, in milliseconds; a sidecar sends at least one report per second. */
const maxReportAgeMs = 2500
const millisecondsPerSecond = 1000

/** Work at model endpoints as known to one entry. */
export class PathCosts {
  private readonly workByEndpoint = new Map<string, EndpointWork>()
  private readonly links: LinkLoads
  private entries = 1
  /** Tells the mean length of an answer in tokens, if known; absent if no memory is reserved for answers. */
  private getMeanAnswer: (() => number | undefined) | undefined

  constructor (private readonly clock: Clock) {
    this.links = new LinkLoads(clock)
  }

  /**
   * Reserves memory for the answers of running requests and of the one to place from now on.
   *
   * @param getMeanAnswer - tells the mean length of an answer in tokens; the configuration's usual length counts while it is
   *   `undefined`
   */
  startReserving (getMeanAnswer: () => number | undefined): void {
    this.getMeanAnswer = getMeanAnswer
  }

  /** Records the start of a request on a path. */
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

  /** Records the end of a request on a path. */
  recordEnd (path: readonly PathPart[], size: RequestSize): void {
    for (const { endpoint, from, to } of path) {
      const work = this.getWork(endpoint.id)
      work.ownRequests = Math.max(0, work.ownRequests - 1)
      work.ownTokenLayers = Math.max(0, work.ownTokenLayers - (size.promptTokens + size.answerTokens) * (to - from))
    }
  }

  /** Records the data that a request on a path transfers over links between data centres. */
  recordTransfers (path: readonly PathPart[], engine: EngineConfig, size: RequestSize): void {
    for (const [index, part] of path.entries()) {
      const next = path[index + 1]?.endpoint.dataCentre ?? part.endpoint.dataCentre
      if (next !== part.endpoint.dataCentre) this.links.record(part.endpoint.dataCentre, next, computeTransferMegabits(engine, size))
    }
  }

  /** @returns a function that estimates the time to transfer a request of the given size between two data centres, or within one */
  createHopEstimate (engine: EngineConfig, size: RequestSize): EstimateHop {
    const transferMs = computeTransferMegabits(engine, size) / engine.dataCentreLinkMbps * millisecondsPerSecond
    const localHopMs = size.answerTokens * hopMs.local
    const remoteHopMs = size.answerTokens * hopMs.remote
    return (from, to) => {
      if (from === to) return localHopMs
      return remoteHopMs + transferMs * this.links.estimateDelayFactor(from, to, engine.dataCentreLinkMbps, this.entries)
    }
  }

  /**
   * Records a report.
   *
   * @param id - identity of the endpoint
   * @param entries - number of entries that receive the report
   * @returns whether the endpoint may take a request now that it could not take before the report
   */
  recordReport (id: string, report: EndpointReport, entries: number): boolean {
    const work = this.getWork(id)
    const previous = this.findReport(id)
    const estimated = this.estimateWork(id)
    work.report = report
    work.reportedMs = this.clock.now()
    work.sent = { requests: 0, tokenLayers: 0 }
    this.entries = Math.max(1, entries)
    if (previous?.layers?.from !== report.layers?.from || previous?.layers?.to !== report.layers?.to) return true
    return report.active + report.queued < estimated.requests || report.usedTokenLayers < estimated.tokenLayers
  }

  /** @returns number of entries that send to the same endpoints, according to the last report */
  countEntries (): number {
    return this.entries
  }

  /** @param ids - endpoints that still exist; the state of all others is removed */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.workByEndpoint.keys()) {
      if (!ids.has(id)) this.workByEndpoint.delete(id)
    }
  }

  /** @returns the last report of an endpoint, or `undefined` if there is none or it has expired */
  findReport (id: string): EndpointReport | undefined {
    const work = this.workByEndpoint.get(id)
    return work !== undefined && this.clock.now() - work.reportedMs < maxReportAgeMs ? work.report : undefined
  }

  /**
   * @param engine - the model
   * @param size - the request to place
   * @param dataCentre - data centre of this entry
   * @returns the costs of the request at an endpoint; `undefined` if the endpoint lacks memory or slots for it
   */
  createCandidate (
    endpoint: CallEndpoint,
    type: AcceleratorType,
    engine: EngineConfig,
    size: RequestSize,
    dataCentre: string
  ): PathCandidate | undefined {
    const span = endpoint.layers as LayerSpan
    const report = this.findReport(endpoint.id)
    const total = report?.totalTokenLayers ?? computeTokenLayerCapacity(span, type, engine)
    const { requests, tokenLayers: used } = this.estimateWork(endpoint.id)
    if (used + this.computeRequired(span, engine, size, report) > total * maxFillRatio) return undefined
    if (span.from === 0 && requests >= engine.slots) return undefined
    const pace = Math.max(1, report?.pace ?? 1)
    const stepMs = type.stepFactor * (engine.stepMs + engine.requestStepMs * requests)
    const prefillTokenMs = type.readFactor * millisecondsPerSecond / engine.promptTokensPerSecond
    const congestionFactor = 1 + used / total
    const layerMs = pace * congestionFactor * (size.answerTokens * stepMs + size.promptTokens * prefillTokenMs * (1 + requests / 10)) / engine.layers
    return { endpoint, span, layerMs, entryMs: endpoint.dataCentre === dataCentre ? 0 : remoteEntryPenaltyMs }
  }

  /** @returns memory that a request and, if it is reserved, the answers of the running ones need, in tokens times layers */
  private computeRequired (span: LayerSpan, engine: EngineConfig, size: RequestSize, report: EndpointReport | undefined): number {
    const layers = span.to - span.from
    if (this.getMeanAnswer === undefined) return size.promptTokens * layers
    const usual = { promptTokens: engine.usualPromptTokens, answerTokens: this.getMeanAnswer() ?? engine.usualAnswerTokens }
    const growth = report === undefined ? 0 : estimateGrowth(report, layers, usual)
    return (size.promptTokens + size.answerTokens) * layers + growth
  }

  /** @returns estimated work at an endpoint now */
  private estimateWork (id: string): SentWork {
    const work = this.workByEndpoint.get(id)
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

  private getWork (id: string): EndpointWork {
    const existing = this.workByEndpoint.get(id)
    if (existing !== undefined) return existing
    const work = createEndpointWork()
    this.workByEndpoint.set(id, work)
    return work
  }
}

/** @returns request memory of an endpoint beside its layers, in tokens times layers */
export const computeTokenLayerCapacity = (span: LayerSpan, type: AcceleratorType, engine: EngineConfig): number =>
  (type.memoryMb - (span.to - span.from) * engine.layerMb) * bytesPerMegabyte / (engine.tokenBytes / engine.layers)

/** @returns data that a request of the given size transfers from one endpoint to the next, in megabits */
const computeTransferMegabits = (engine: EngineConfig, size: RequestSize): number =>
  (size.promptTokens + size.answerTokens) * engine.activationBytes * bitsPerByte / bytesPerMegabyte
