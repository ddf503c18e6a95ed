/**
 * Regroups the members of inefficient groups of a layout.
 *
 * Addresses the permanent loss of several endpoints: the spans of neighbours are widened to cover the lost layers, which
 * leaves too little memory for requests, so that the fleet serves far fewer requests than its memory allows. Members of
 * such groups and endpoints outside every group form new groups; all others keep their layers and continue to serve. When
 * a lost endpoint returns, its neighbours release the layers that were added to cover it.
 */
import { planGroup, computeHeldRate } from './group-rate.js'
import type { HeldLayers, LayoutMember } from './group-rate.js'
import { planLayout, spareWave } from './layer-layout.js'
import type { LayerAssignment } from './layer-layout.js'
import type { LayoutTerms } from './layout-goal.js'

/** Minimum gain that justifies loading, as a fraction of the rate of the layout: one group out of six or seven. */
const minGain = 0.15
/** Fraction of the rate of an endpoint that loading costs: about 3 s of the 30 s until the next loss. */
const loadingCostRatio = 0.1
/** Minimum gain that justifies narrowing the spans of a group, as a fraction of the rate of the group. */
const minNarrowingGain = 0.02
/** A group is inefficient below this fraction of the rate that its members could reach with a new plan. */
const efficiencyThreshold = 0.7
/** Minimum number of groups that keep their layers, so that one more loss leaves no layer without a copy during loading. */
const minKeptGroups = 2
/** Maximum number of groups tried alone, and of groups tried with all inefficient ones, slowest first; each costs one plan. */
const maxTriedGroups = 8

/** A group with its rate. */
interface RatedGroup {
  parts: HeldLayers[]
  /** Requests per second. */
  rate: number
}

const createRatedGroup = (parts: HeldLayers[], engine: LayoutTerms): RatedGroup => ({ parts, rate: computeHeldRate(parts, engine) })

/** @returns the groups of a layout, fastest first */
const listGroups = (assignments: readonly LayerAssignment[], index: ReadonlyMap<string, LayoutMember>, engine: LayoutTerms): RatedGroup[] => {
  const partsByWave = new Map<number, HeldLayers[]>()
  for (const { address, wave, from, to } of assignments) {
    const member = index.get(address)
    if (member === undefined || wave === spareWave) continue
    const parts = partsByWave.get(wave) ?? []
    parts.push({ member, from, to })
    partsByWave.set(wave, parts)
  }
  return [...partsByWave.values()].map((parts) => createRatedGroup(parts, engine)).sort((a, b) => b.rate - a.rate)
}

/** @returns total rate of the groups, in requests per second */
const addRates = (groups: readonly RatedGroup[]): number => groups.reduce((sum, group) => sum + group.rate, 0)

/** @returns whether the rate of a group is below {@link efficiencyThreshold} of what its members could reach */
const isInefficient = (group: RatedGroup, engine: LayoutTerms): boolean => {
  const members = group.parts.map((part) => part.member)
  return group.rate < (planGroup(members, engine)?.rate ?? Infinity) * efficiencyThreshold
}

/** Numbers the groups by rate, fastest first, and lists their assignments. */
const assignWaves = (groups: readonly RatedGroup[]): LayerAssignment[] =>
  [...groups].sort((a, b) => b.rate - a.rate)
    .flatMap((group, wave) => group.parts.map(({ member, from, to }) => ({ address: member.address, from, to, wave })))

/**
 * Releases layers that several members of a group hold, once all members are back. No member loads a layer.
 *
 * @returns the group with newly planned spans; the unchanged group if the plan would require loading or gains too little
 */
const narrowGroup = (group: RatedGroup, engine: LayoutTerms): RatedGroup => {
  const parts = [...group.parts].sort((a, b) => a.from - b.from)
  const plan = planGroup(parts.map((part) => part.member), engine)
  if (plan === undefined || plan.rate < group.rate * (1 + minNarrowingGain)) return group
  let from = 0
  const narrowed: HeldLayers[] = []
  for (const [index, part] of parts.entries()) {
    const to = from + (plan.shares[index] as number)
    if (from < part.from || to > part.to || to === from) return group
    narrowed.push({ member: part.member, from, to })
    from = to
  }
  return createRatedGroup(narrowed, engine)
}

/** @returns the fraction of all endpoints that must load layers for a new layout */
const computeLoadedShare = (next: readonly LayerAssignment[], current: readonly LayerAssignment[], endpoints: number): number => {
  const held = new Map(current.map((assignment) => [assignment.address, assignment]))
  const loading = next.filter(({ address, from, to }) => {
    const before = held.get(address)
    return before === undefined || from < before.from || to > before.to
  })
  return loading.length / endpoints
}

/** @returns sets of groups to regroup: all inefficient ones, these plus one efficient group, and single inefficient ones */
const listRegroupSets = (inefficient: readonly RatedGroup[], efficient: readonly RatedGroup[]): RatedGroup[][] => {
  const slowest = efficient.slice(-maxTriedGroups).reverse()
  const single = inefficient.slice(-maxTriedGroups).reverse()
  return [[...inefficient], ...slowest.map((group) => [...inefficient, group]), ...single.map((group) => [group])]
}

/**
 * Searches for groups with a higher total rate than the current ones, while most endpoints keep their layers.
 *
 * @param current - the current layout
 * @param members - live endpoints that respond
 * @param engine - the model
 * @returns a layout with a sufficiently higher rate, or `undefined` if the current one needs no change
 */
export const regroupLayout = (
  current: readonly LayerAssignment[],
  members: readonly LayoutMember[],
  engine: LayoutTerms
): LayerAssignment[] | undefined => {
  const index = new Map(members.map((member) => [member.address, member]))
  const before = listGroups(current, index, engine)
  const groups = before.map((group) => narrowGroup(group, engine))
  const inefficient = groups.filter((group) => isInefficient(group, engine))
  const efficient = groups.filter((group) => !inefficient.includes(group))
  const hasNarrowed = groups.some((group, place) => group !== before[place])
  const spares = current.filter((assignment) => assignment.wave === spareWave && index.has(assignment.address))
  let best = hasNarrowed ? [...assignWaves(groups), ...spares] : undefined
  let bestValue = addRates(groups) * (1 + minGain)
  for (const regroupSet of listRegroupSets(inefficient, efficient)) {
    const kept = groups.filter((group) => !regroupSet.includes(group))
    if (kept.filter((group) => group.rate > 0).length < minKeptGroups) continue
    const keptAddresses = new Set(kept.flatMap((group) => group.parts.map((part) => part.member.address)))
    const planned = planLayout(members.filter((member) => !keptAddresses.has(member.address)), engine)
    const formed = listGroups(planned, index, engine)
    const value = addRates(kept) + addRates(formed) - addRates(groups) * loadingCostRatio * computeLoadedShare(planned, current, members.length)
    if (value <= bestValue) continue
    bestValue = value
    best = [...assignWaves([...kept, ...formed]), ...planned.filter((assignment) => assignment.wave === spareWave)]
  }
  return best
}
