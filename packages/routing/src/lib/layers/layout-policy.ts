/**
 * Decides when a layout is planned or repaired.
 *
 * Answers the load pattern of endpoints that crash and come back within seconds: a short absence changes nothing, since
 * the endpoint loads its own layers again when it returns; a long one, an endpoint that leaves, or one that is new leads
 * to a repair.
 */
import type { CallEndpoint } from '../calls/call-endpoint.js'
import type { EngineTerms } from '../calls/call-terms.js'
import type { LayoutMember } from './group-rate.js'
import type { LayerAssignment } from './layer-layout.js'
import { coverAbsent, planLayout, repairLayout } from './layer-layout.js'

/** Time without new endpoints after which the first layout is planned, in milliseconds: two heartbeats. */
const settleMs = 2500
/** Absence after which an endpoint counts as gone, in milliseconds: a crash and a new start take less. */
const absenceMs = 7000

/** Watches the endpoints of one service. */
export class LayoutPolicy {
  private readonly lastSeenMs = new Map<string, number>()
  private readonly members = new Map<string, LayoutMember>()
  /** All endpoints ever seen, with their types. */
  private readonly known = new Map<string, LayoutMember>()
  private newestMs = -Infinity
  private observedMs = -Infinity

  /**
   * Notes which endpoints live.
   *
   * @param endpoints - all endpoints of the service in the list
   * @param silent - addresses of endpoints that do not answer the sidecar beside them
   * @param engine - terms of the model
   */
  observe (endpoints: readonly CallEndpoint[], silent: ReadonlySet<string>, engine: EngineTerms, nowMs: number): void {
    this.observedMs = nowMs
    for (const endpoint of endpoints) {
      const type = engine.types.find((other) => other.name === endpoint.type)
      if (type === undefined) continue
      this.known.set(endpoint.address, { address: endpoint.address, dataCentre: endpoint.dataCentre, type })
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
  }

  /**
   * @param present - assignments in force; `undefined` if there is no layout yet
   * @returns assignments that should take their place, or `undefined` if they may stay
   */
  decide (present: readonly LayerAssignment[] | undefined, engine: EngineTerms, nowMs: number): LayerAssignment[] | undefined {
    for (const [address, seenMs] of this.lastSeenMs) {
      if (nowMs - seenMs <= absenceMs) continue
      this.lastSeenMs.delete(address)
      this.members.delete(address)
    }
    const members = [...this.members.values()]
    if (members.length === 0) return undefined
    if (present === undefined || present.length === 0) {
      return nowMs - this.newestMs >= settleMs ? planLayout(members, engine) : undefined
    }
    const assigned = new Set(present.map((assignment) => assignment.address))
    const hasLost = present.some((assignment) => !this.members.has(assignment.address))
    const hasNew = members.some((member) => !assigned.has(member.address))
    const repaired = hasLost || hasNew ? repairLayout(present, members, this.known, engine) : present
    const covered = coverAbsent(repaired, this.listAbsent(), this.known, engine)
    return covered === present ? undefined : [...covered]
  }

  /** @returns addresses of endpoints that were not seen at the last look */
  private listAbsent (): Set<string> {
    const absent = new Set<string>()
    for (const [address, seenMs] of this.lastSeenMs) {
      if (seenMs < this.observedMs) absent.add(address)
    }
    return absent
  }
}
