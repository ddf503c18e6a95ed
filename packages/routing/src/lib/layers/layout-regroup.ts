/**
 * Cuts the poor groups of a layout anew.
 *
 * Answers the load pattern of several endpoints lost for good: neighbours that widen over them hold more layers than they
 * have room for requests beside, so that the fleet serves far less than its memory allows. Members of such groups and
 * endpoints outside every group form new groups; all others keep their layers and serve meanwhile.
 */
import type { EngineTerms } from '../calls/call-terms.js'
import { planGroup, rateHeldLayers } from './group-rate.js'
import type { HeldLayers, LayoutMember } from './group-rate.js'
import { planLayout, spareWave } from './layer-layout.js'
import type { LayerAssignment } from './layer-layout.js'

/** Least gain for which endpoints load again, as a part of what the layout serves: a group among six or seven. */
const leastGain = 0.15
/** A group below this part of what its members could serve is poor. */
const poorShare = 0.7
/** Groups that must keep their layers, so that the loss of one more endpoint leaves no gap while others load. */
const fewestKept = 2
/** Groups that are tried together with the poor ones, slowest first; each costs one plan of a few endpoints. */
const mostTried = 8

interface RatedGroup {
  parts: HeldLayers[]
  assignments: LayerAssignment[]
  /** Requests a second. */
  rate: number
}

/** @returns the groups of a layout, fastest first */
const listGroups = (assignments: readonly LayerAssignment[], index: ReadonlyMap<string, LayoutMember>, engine: EngineTerms): RatedGroup[] => {
  const groups = new Map<number, RatedGroup>()
  for (const assignment of assignments) {
    const member = index.get(assignment.address)
    if (member === undefined || assignment.wave === spareWave) continue
    const group = groups.get(assignment.wave) ?? { parts: [], assignments: [], rate: 0 }
    group.parts.push({ member, from: assignment.from, to: assignment.to })
    group.assignments.push(assignment)
    groups.set(assignment.wave, group)
  }
  for (const group of groups.values()) group.rate = rateHeldLayers(group.parts, engine)
  return [...groups.values()].sort((a, b) => b.rate - a.rate)
}

const sumRates = (groups: readonly RatedGroup[]): number => groups.reduce((sum, group) => sum + group.rate, 0)

const isPoor = (group: RatedGroup, engine: EngineTerms): boolean => {
  const members = group.parts.map((part) => part.member)
  return group.rate < (planGroup(members, engine)?.rate ?? Infinity) * poorShare
}

/** Numbers the groups by rate, so that the fastest load first. */
const numberWaves = (groups: readonly RatedGroup[]): LayerAssignment[] =>
  [...groups].sort((a, b) => b.rate - a.rate)
    .flatMap((group, wave) => group.assignments.map((assignment) => ({ ...assignment, wave })))

/**
 * @param present - the layout in force
 * @param members - endpoints that live now
 * @param engine - the model
 * @returns a layout that serves clearly more, or `undefined` if the present one may stay
 */
export const regroupLayout = (
  present: readonly LayerAssignment[],
  members: readonly LayoutMember[],
  engine: EngineTerms
): LayerAssignment[] | undefined => {
  const index = new Map(members.map((member) => [member.address, member]))
  const groups = listGroups(present, index, engine)
  const poor = new Set(groups.filter((group) => isPoor(group, engine)))
  const sound = groups.filter((group) => !poor.has(group))
  const tried = [undefined, ...sound.slice(-mostTried).reverse()]
  let best: LayerAssignment[] | undefined
  let bestRate = sumRates(groups) * (1 + leastGain)
  for (const added of tried) {
    const kept = sound.filter((group) => group !== added)
    if (kept.length < fewestKept) break
    const keptAddresses = new Set(kept.flatMap((group) => group.assignments.map((assignment) => assignment.address)))
    const free = members.filter((member) => !keptAddresses.has(member.address))
    const planned = planLayout(free, engine)
    const formed = listGroups(planned, index, engine)
    const rate = sumRates(kept) + sumRates(formed)
    if (rate <= bestRate) continue
    bestRate = rate
    best = [...numberWaves([...kept, ...formed]), ...planned.filter((assignment) => assignment.wave === spareWave)]
  }
  return best
}
