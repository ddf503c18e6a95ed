/**
 * Decides when a layout is planned or repaired.
 *
 * Answers the load pattern of endpoints that crash and come back within seconds: a short absence changes nothing, since
 * the endpoint loads its own layers again when it returns; a long one, an endpoint that leaves, or one that is new leads
 * to a repair at once, and to new groups when no replacement has come.
 */
import type { CallEndpoint } from '../calls/call-endpoint.js'
import type { EngineTerms } from '../calls/call-terms.js'
import type { LayoutMember } from './group-rate.js'
import type { LayerAssignment } from './layer-layout.js'
import { coverAbsent, planLayout, repairLayout } from './layer-layout.js'
import { regroupLayout } from './layout-regroup.js'

/** Time without new endpoints after which the first layout is planned, in milliseconds: two heartbeats. */
const settleMs = 2500
/** Absence after which an endpoint counts as gone, in milliseconds: a crash and a new start take less. */
const absenceMs = 7000
/** Time without a change after which groups are formed anew, in milliseconds: a replacement is listed within it. */
const regroupMs = 2500

/** @returns whether two layouts are the same, in the same order */
const hasSameAssignments = (one: readonly LayerAssignment[], other: readonly LayerAssignment[]): boolean =>
  one.length === other.length && one.every(({ address, from, to, wave }, index) => {
    const { address: otherAddress, from: otherFrom, to: otherTo, wave: otherWave } = other[index] as LayerAssignment
    return address === otherAddress && from === otherFrom && to === otherTo && wave === otherWave
  })

/** Watches the endpoints of one service. */
export class LayoutPolicy {
  private readonly lastSeenMs = new Map<string, number>()
  private readonly members = new Map<string, LayoutMember>()
  /** All endpoints ever seen, with their types. */
  private readonly known = new Map<string, LayoutMember>()
  private newestMs = -Infinity
  private observedMs = -Infinity
  /** When an endpoint last came, left or stopped to answer. */
  private changedMs = -Infinity
  /** Endpoints that answered at the last look. */
  private present = new Set<string>()
  /** When the endpoints of new groups have loaded their layers at the latest. */
  private loadedMs = -Infinity
  /** Whether endpoints have changed since the groups were last found good. */
  private isRegroupDue = true

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
    this.noteChange(nowMs)
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
    if (!hasSameAssignments(covered, present)) return [...covered]
    return this.regroup(present, members, engine, nowMs)
  }

  /** Remembers when the endpoints that answer were others than at the look before. */
  private noteChange (nowMs: number): void {
    const present = new Set([...this.lastSeenMs].flatMap(([address, seenMs]) => seenMs === nowMs ? [address] : []))
    const isSame = present.size === this.present.size && [...present].every((address) => this.present.has(address))
    if (isSame) return
    this.present = present
    this.changedMs = nowMs
    this.isRegroupDue = true
  }

  /** Forms groups anew after a change, when all members have answered for a while and the groups before have loaded. */
  private regroup (
    present: readonly LayerAssignment[],
    members: readonly LayoutMember[],
    engine: EngineTerms,
    nowMs: number
  ): LayerAssignment[] | undefined {
    const isSettled = nowMs - this.changedMs >= regroupMs && this.listAbsent().size === 0
    if (!this.isRegroupDue || !isSettled || nowMs < this.loadedMs) return undefined
    const regrouped = regroupLayout(present, members, engine)
    if (regrouped === undefined) this.isRegroupDue = false
    else this.loadedMs = nowMs + engine.loadMs
    return regrouped
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
