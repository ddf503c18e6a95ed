/**
 * Estimates the load of endpoints from old reports.
 *
 * Addresses many entries with few requests each: a report is often older than the requests that it counts. By then these
 * have ended, and others that this entry does not see have taken their place. The share of a report that still holds falls
 * exponentially with its age, measured in the mean time that a request stays; the rest is taken as the mean of all endpoints.
 * Neither the number of entries nor what they send enters, so that the error does not grow with their number.
 */
import type { Clock } from '@clementineloft/kernel'

/** Load of an endpoint as estimated from its last report. */
export interface LoadEstimate {
  /** Number of requests that the endpoint holds. */
  value: number
  /** Time since the last report, in milliseconds; infinite if there is none. */
  ageMs: number
  /** Share of the reported requests that are expected to be there still, from 0 to 1. */
  confidence: number
  /** Mean time that a request of this entry stays at the endpoint, waiting included, in milliseconds. */
  stayMs: number
}

/** An endpoint of which the load is estimated. */
export interface LoadedEndpoint {
  id: string
  /** Number of requests that it runs at once. */
  slots: number
}

interface EndpointLoad {
  /** Last reported number of requests; `undefined` if there is no report. */
  reported: number | undefined
  reportedMs: number
  sentSinceReport: number
  inFlight: number
  /** Time of this entry's requests at the endpoint and number of those that have ended, as decaying sums. */
  busyMs: number
  ended: number
  updatedMs: number
}

/** Time constant of the mean stay, in milliseconds; some dozen calls of an entry that calls few times a second. */
const stayTimeConstantMs = 10_000
/** Stay that is assumed until requests have ended, in milliseconds, and its weight in requests. */
const usualStayMs = 50
const usualStayWeight = 0.5
/** Weight of the mean stay at all endpoints in that of one endpoint, in requests. */
const commonStayWeight = 0.3
/** Maximum number of reported requests per slot that is distinguished; bounds the effect of a false report. */
const maxReportedPerSlot = 8

/** Loads of endpoints as known to one entry. */
export class EndpointLoads {
  private readonly loads = new Map<string, EndpointLoad>()

  constructor (private readonly clock: Clock) {}

  /** Records that a request was sent to an endpoint. */
  recordStart (id: string): void {
    const load = this.advance(id)
    load.inFlight++
    load.sentSinceReport++
  }

  /** Records that a request at an endpoint has ended, with or without a report of the endpoint. */
  recordEnd (id: string): void {
    const load = this.advance(id)
    load.inFlight = Math.max(0, load.inFlight - 1)
    load.sentSinceReport = Math.min(load.sentSinceReport, load.inFlight)
    load.ended++
  }

  /**
   * Records an endpoint's report of its own load.
   *
   * @param reported - number of requests that it holds, from all entries
   */
  recordReport (id: string, reported: number): void {
    const load = this.advance(id)
    load.reported = Math.max(0, reported)
    load.reportedMs = this.clock.now()
    load.sentSinceReport = 0
  }

  /**
   * @param endpoints - endpoints of one service
   * @returns estimates in the order of the endpoints
   */
  estimate (endpoints: readonly LoadedEndpoint[]): LoadEstimate[] {
    const loads = endpoints.map(({ id }) => this.advance(id))
    const commonStayMs = computeCommonStay(loads)
    const meanPerSlot = computeMeanReported(endpoints, loads)
    return loads.map((load, index) => {
      const slots = countSlots(endpoints[index] as LoadedEndpoint)
      const stayMs = Math.max(1, (load.busyMs + commonStayWeight * commonStayMs) / (load.ended + commonStayWeight))
      const ageMs = load.reported === undefined ? Infinity : load.updatedMs - load.reportedMs
      const confidence = Math.exp(-ageMs / stayMs)
      const expected = confidence * computeBoundedReport(load, slots) + (1 - confidence) * meanPerSlot * slots
      return { value: Math.max(load.inFlight, expected + load.sentSinceReport), ageMs, confidence, stayMs }
    })
  }

  /** @param ids - endpoints that still exist; the state of all others is removed */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.loads.keys()) {
      if (!ids.has(id)) this.loads.delete(id)
    }
  }

  /** @returns the load of an endpoint, with the time of its requests counted up to now */
  private advance (id: string): EndpointLoad {
    const nowMs = this.clock.now()
    const load = this.getLoad(id, nowMs)
    const passedMs = nowMs - load.updatedMs
    if (passedMs <= 0) return load
    const factor = Math.exp(-passedMs / stayTimeConstantMs)
    load.busyMs = load.busyMs * factor + load.inFlight * passedMs
    load.ended *= factor
    load.updatedMs = nowMs
    return load
  }

  private getLoad (id: string, nowMs: number): EndpointLoad {
    const existing = this.loads.get(id)
    if (existing !== undefined) return existing
    const load: EndpointLoad = { reported: undefined, reportedMs: nowMs, sentSinceReport: 0, inFlight: 0, busyMs: 0, ended: 0, updatedMs: nowMs }
    this.loads.set(id, load)
    return load
  }
}

const countSlots = ({ slots }: LoadedEndpoint): number => Math.max(1, slots)

const computeBoundedReport = ({ reported = 0 }: EndpointLoad, slots: number): number => Math.min(reported, maxReportedPerSlot * slots)

/** @returns mean time that a request of this entry stays at any of the endpoints, in milliseconds */
const computeCommonStay = (loads: readonly EndpointLoad[]): number => {
  let busyMs = usualStayMs * usualStayWeight
  let ended = usualStayWeight
  for (const load of loads) {
    busyMs += load.busyMs
    ended += load.ended
  }
  return busyMs / ended
}

/** @returns mean number of reported requests per slot; 0 if there are no reports */
const computeMeanReported = (endpoints: readonly LoadedEndpoint[], loads: readonly EndpointLoad[]): number => {
  let reported = 0
  let slots = 0
  for (const [index, endpoint] of endpoints.entries()) {
    const load = loads[index] as EndpointLoad
    if (load.reported === undefined) continue
    reported += computeBoundedReport(load, countSlots(endpoint))
    slots += countSlots(endpoint)
  }
  return slots === 0 ? 0 : reported / slots
}
