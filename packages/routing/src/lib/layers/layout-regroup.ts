/**
 * Cuts the poor groups of a layout anew.
 *
 * Answers the load pattern of several endpoints lost for good: neighbours that widen over them hold more layers than they
 * have room for requests beside, so that the fleet serves far less than its memory allows. Members of such groups and
 * endpoints outside every group form new groups; all others keep their layers and serve meanwhile. Neighbours of an
 * endpoint that has come back give up what they had widened over it.
 */
import type { EngineTerms } from '../calls/call-terms.js'
import { planGroup, computeHeldRate } from './group-rate.js'
import type { HeldLayers, LayoutMember } from './group-rate.js'
import { planLayout, spareWave } from './layer-layout.js'
import type { LayerAssignment } from './layer-layout.js'

/** Least gain for which endpoints load again, as a part of what the layout serves: a group among six or seven. */
const leastGain = 0.15
/** Part of what an endpoint serves that its load costs: some three seconds of the half minute until the next loss. */
const loadCost = 0.1
/** Least gain for which members give layers up, as a part of what their group serves. */
const leastNarrowingGain = 0.02
/** A group below this part of what its members could serve is poor. */
const poorShare = 0.7
/** Groups that must keep their layers, so that the loss of one more endpoint leaves no gap while others load. */
const fewestKept = 2
/** Groups that are tried alone, and together with the poor ones, slowest first; each costs one plan of a few endpoints. */
const mostTried = 8

/** A group with what it serves. */
interface RatedGroup {
  parts: HeldLayers[]
  /** Requests a second. */
  rate: number
}

const createGroup = (parts: HeldLayers[], engine: EngineTerms): RatedGroup => ({ parts, rate: computeHeldRate(parts, engine) })

/** @returns the groups of a layout, fastest first */
const listGroups = (assignments: readonly LayerAssignment[], index: ReadonlyMap<string, LayoutMember>, engine: EngineTerms): RatedGroup[] => {
  const partsByWave = new Map<number, HeldLayers[]>()
  for (const { address, wave, from, to } of assignments) {
    const member = index.get(address)
    if (member === undefined || wave === spareWave) continue
    const parts = partsByWave.get(wave) ?? []
    parts.push({ member, from, to })
    partsByWave.set(wave, parts)
  }
  return [...partsByWave.values()].map((parts) => createGroup(parts, engine)).sort((a, b) => b.rate - a.rate)
}

/** @returns requests a second of all groups together */
const addRates = (groups: readonly RatedGroup[]): number => groups.reduce((sum, group) => sum + group.rate, 0)

/** @returns whether the members of a group could serve clearly more with other layers */
const isPoor = (group: RatedGroup, engine: EngineTerms): boolean => {
  const members = group.parts.map((part) => part.member)
  return group.rate < (planGroup(members, engine)?.rate ?? Infinity) * poorShare
}

/** Numbers the groups by rate, the fastest first. */
const assignWaves = (groups: readonly RatedGroup[]): LayerAssignment[] =>
  [...groups].sort((a, b) => b.rate - a.rate)
    .flatMap((group, wave) => group.parts.map(({ member, from, to }) => ({ address: member.address, from, to, wave })))

/**
 * Lets the members of a group give up layers that others of the group hold too, once all of them are back. Nobody loads.
 *
 * @returns the group as it would be planned; the group itself if members would have to load for that
 */
const narrowGroup = (group: RatedGroup, engine: EngineTerms): RatedGroup => {
  const parts = [...group.parts].sort((a, b) => a.from - b.from)
  const plan = planGroup(parts.map((part) => part.member), engine)
  if (plan === undefined || plan.rate < group.rate * (1 + leastNarrowingGain)) return group
  let from = 0
  const narrowed: HeldLayers[] = []
  for (const [index, part] of parts.entries()) {
    const to = from + (plan.shares[index] as number)
    if (from < part.from || to > part.to || to === from) return group
    narrowed.push({ member: part.member, from, to })
    from = to
  }
  return createGroup(narrowed, engine)
}

/** @returns the part of all endpoints that must load layers for a new layout */
const computeLoadedShare = (next: readonly LayerAssignment[], present: readonly LayerAssignment[], endpoints: number): number => {
  const held = new Map(present.map((assignment) => [assignment.address, assignment]))
  const loading = next.filter(({ address, from, to }) => {
    const before = held.get(address)
    return before === undefined || from < before.from || to > before.to
  })
  return loading.length / endpoints
}

/** @returns sets of groups to cut anew: the poor ones, these with one that is sound, or one of the poor alone */
const listPools = (poor: readonly RatedGroup[], sound: readonly RatedGroup[]): RatedGroup[][] => {
  const slowest = sound.slice(-mostTried).reverse()
  const single = poor.slice(-mostTried).reverse()
  return [[...poor], ...slowest.map((group) => [...poor, group]), ...single.map((group) => [group])]
}

/**
 * Looks for groups that serve more than the present ones; most endpoints keep their layers.
 *
 * @param present - the layout in force
 * @param members - endpoints that live now and answer
 * @param engine - the model
 * @returns a layout that serves clearly more, or `undefined` if the present one may stay
 */
export const regroupLayout = (
  present: readonly LayerAssignment[],
  members: readonly LayoutMember[],
  engine: EngineTerms
): LayerAssignment[] | undefined => {
  const index = new Map(members.map((member) => [member.address, member]))
  const before = listGroups(present, index, engine)
  const groups = before.map((group) => narrowGroup(group, engine))
  const poor = groups.filter((group) => isPoor(group, engine))
  const sound = groups.filter((group) => !poor.includes(group))
  const hasNarrowed = groups.some((group, place) => group !== before[place])
  const spares = present.filter((assignment) => assignment.wave === spareWave && index.has(assignment.address))
  let best = hasNarrowed ? [...assignWaves(groups), ...spares] : undefined
  let bestValue = addRates(groups) * (1 + leastGain)
  for (const pool of listPools(poor, sound)) {
    const kept = groups.filter((group) => !pool.includes(group))
    if (kept.filter((group) => group.rate > 0).length < fewestKept) continue
    const keptAddresses = new Set(kept.flatMap((group) => group.parts.map((part) => part.member.address)))
    const planned = planLayout(members.filter((member) => !keptAddresses.has(member.address)), engine)
    const formed = listGroups(planned, index, engine)
    const value = addRates(kept) + addRates(formed) - addRates(groups) * loadCost * computeLoadedShare(planned, present, members.length)
    if (value <= bestValue) continue
    bestValue = value
    best = [...assignWaves([...kept, ...formed]), ...planned.filter((assignment) => assignment.wave === spareWave)]
  }
  return best
}
