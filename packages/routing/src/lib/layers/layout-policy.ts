/**
 * Decides when a layout is planned, repaired or regrouped.
 *
 * Addresses endpoints that crash and restart within seconds: a short absence does not reassign layers, since the endpoint
 * reloads its own layers when it returns. A long absence, an endpoint that leaves or a new endpoint causes an immediate
 * repair. If no replacement arrives, the groups are formed again.
 *
 * Also addresses a lease that changes hands after an outage of the store, during which entries of the list have expired:
 * an endpoint that is assigned layers but not listed yet is no evidence of a loss until it has had time to be listed again.
 */
import type { CallEndpoint } from '../calls/call-endpoint.js'
import type { LayoutMember } from './group-rate.js'
import type { LayerAssignment } from './layer-layout.js'
import { coverAbsent, planLayout, repairLayout } from './layer-layout.js'
import type { LayoutTerms } from './layout-goal.js'
import { regroupLayout } from './layout-regroup.js'

/** Time without new endpoints before the first layout is planned, in milliseconds; equals two heartbeats. */
const settleTimeMs = 2500
/** Time from the first observation for which the list may be incomplete, in milliseconds; equals two heartbeats. */
const listingTimeMs = 2500
/** Absence after which an endpoint is removed, in milliseconds; longer than a crash followed by a restart. */
const absenceTimeoutMs = 7000
/** Time without a change before regrouping, in milliseconds; long enough for a replacement to be listed. */
const regroupDelayMs = 2500

/** @returns whether two layouts have equal assignments in the same order */
const hasSameAssignments = (one: readonly LayerAssignment[], other: readonly LayerAssignment[]): boolean =>
  one.length === other.length && one.every(({ address, from, to, wave }, index) => {
    const { address: otherAddress, from: otherFrom, to: otherTo, wave: otherWave } = other[index] as LayerAssignment
    return address === otherAddress && from === otherFrom && to === otherTo && wave === otherWave
  })

/** Tracks the endpoints of one service and decides on changes of their layout. */
export class LayoutPolicy {
  private readonly lastSeenMs = new Map<string, number>()
  private readonly members = new Map<string, LayoutMember>()
  /** All endpoints ever observed, with their types. */
  private readonly knownMembers = new Map<string, LayoutMember>()
  private newestMs = -Infinity
  private observedMs = -Infinity
  private firstObservedMs = Infinity
  /** Addresses of all endpoints in the last list, whether or not they respond. */
  private listed: ReadonlySet<string> = new Set()
  /** When an endpoint last joined, left, stopped responding or resumed. */
  private changedMs = -Infinity
  /** Endpoints that responded at the last observation. */
  private responding = new Set<string>()
  /** Latest time at which the endpoints of new groups finish loading their layers. */
  private loadsCompleteByMs = -Infinity
  /** Whether endpoints have changed since regrouping last found no better layout. */
  private isRegroupDue = true

  /**
   * Records which endpoints are live.
   *
   * @param endpoints - all listed endpoints of the service
   * @param silent - addresses of endpoints that do not respond to their own sidecar
   * @param engine - the model
   */
  observe (endpoints: readonly CallEndpoint[], silent: ReadonlySet<string>, engine: LayoutTerms, nowMs: number): void {
    this.observedMs = nowMs
    this.firstObservedMs = Math.min(this.firstObservedMs, nowMs)
    this.listed = new Set(endpoints.map((endpoint) => endpoint.address))
    for (const endpoint of endpoints) {
      const type = engine.types.find((other) => other.name === endpoint.type)
      if (type === undefined) continue
      this.knownMembers.set(endpoint.address, { address: endpoint.address, dataCentre: endpoint.dataCentre, type })
      if (endpoint.isLeaving) {
        this.members.delete(endpoint.address)
        this.lastSeenMs.delete(endpoint.address)
        continue
      }
      if (silent.has(endpoint.address)) continue
      if (!this.members.has(endpoint.address)) this.newestMs = nowMs
      this.members.set(endpoint.address, { address: endpoint.address, dataCentre: endpoint.dataCentre, type })
      this.lastSeenMs.set(endpoint.address, nowMs)
    }
    this.recordChange(nowMs)
  }

  /**
   * @param current - current assignments; `undefined` if there is no layout yet
   * @returns assignments to replace them, or `undefined` if they need no change
   */
  decide (current: readonly LayerAssignment[] | undefined, engine: LayoutTerms, nowMs: number): LayerAssignment[] | undefined {
    for (const [address, seenMs] of this.lastSeenMs) {
      if (nowMs - seenMs <= absenceTimeoutMs) continue
      this.lastSeenMs.delete(address)
      this.members.delete(address)
    }
    const members = [...this.members.values()]
    if (members.length === 0 || this.isListIncomplete(current ?? [], nowMs)) return undefined
    if (current === undefined || current.length === 0) {
      return nowMs - this.newestMs >= settleTimeMs ? planLayout(members, engine) : undefined
    }
    const assigned = new Set(current.map((assignment) => assignment.address))
    const hasLost = current.some((assignment) => !this.members.has(assignment.address))
    const hasNew = members.some((member) => !assigned.has(member.address))
    const repaired = hasLost || hasNew ? repairLayout(current, members, this.knownMembers, engine) : current
    const covered = coverAbsent(repaired, this.listAbsent(), this.knownMembers, engine)
    if (!hasSameAssignments(covered, current)) return [...covered]
    return this.regroup(current, members, engine, nowMs)
  }

  /** @returns whether an endpoint of the layout is missing from the list, but may only not have been listed again yet */
  private isListIncomplete (current: readonly LayerAssignment[], nowMs: number): boolean {
    return nowMs - this.firstObservedMs < listingTimeMs && current.some(({ address }) => !this.listed.has(address))
  }

  /** Records a change if the set of responding endpoints differs from the previous observation. */
  private recordChange (nowMs: number): void {
    const responding = new Set([...this.lastSeenMs].flatMap(([address, seenMs]) => seenMs === nowMs ? [address] : []))
    const isSame = responding.size === this.responding.size && [...responding].every((address) => this.responding.has(address))
    if (isSame) return
    this.responding = responding
    this.changedMs = nowMs
    this.isRegroupDue = true
  }

  /** Regroups after a change, once all members have responded for {@link regroupDelayMs} and the last new groups have loaded. */
  private regroup (
    current: readonly LayerAssignment[],
    members: readonly LayoutMember[],
    engine: LayoutTerms,
    nowMs: number
  ): LayerAssignment[] | undefined {
    const isSettled = nowMs - this.changedMs >= regroupDelayMs && this.listAbsent().size === 0
    if (!this.isRegroupDue || !isSettled || nowMs < this.loadsCompleteByMs) return undefined
    const regrouped = regroupLayout(current, members, engine)
    if (regrouped === undefined) this.isRegroupDue = false
    else this.loadsCompleteByMs = nowMs + engine.loadMs
    return regrouped
  }

  /** @returns addresses of endpoints that were missing from the last observation */
  private listAbsent (): Set<string> {
    const absent = new Set<string>()
    for (const [address, seenMs] of this.lastSeenMs) {
      if (seenMs < this.observedMs) absent.add(address)
    }
    return absent
  }
}
