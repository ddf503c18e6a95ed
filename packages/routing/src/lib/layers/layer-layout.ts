/**
 * Decides which layers each endpoint holds.
 *
 * Answers the load pattern of prompts that all cross a narrow link between data centres: groups of endpoints that cover
 * the model are formed inside one data centre first, and what is left over joins across data centres. The endpoints of
 * a data centre are cut into groups so that all groups together serve the most requests. After a loss who stays keeps
 * its layers, so that few are loaded again.
 */
import type { LayerSpan } from '../calls/call-endpoint.js'
import type { EngineTerms } from '../calls/call-terms.js'
import { countCopies } from './count-copies.js'
import { computeCapacity, planGroup } from './group-rate.js'
import type { GroupPlan, LayoutMember } from './group-rate.js'

/** The layers of one endpoint. */
export interface LayerAssignment extends LayerSpan {
  address: string
  /** Number of its group, by rate: 0 is the fastest; {@link spareWave} outside every group. */
  wave: number
}

interface Group {
  members: LayoutMember[]
  plan: GroupPlan
}

/** Most members of a group: each one adds a hop to every token. */
const maxGroupSize = 16
/** Wave of endpoints outside every group. */
export const spareWave = 1000
/** Room for requests beside the layers of an endpoint outside every group, in tokens. */
const spareRoomTokens = 24_000
/** Least room that is left when a span is widened over a gap, in tokens. */
const leastRoomTokens = 12_000

const comparePlaces = (a: LayoutMember, b: LayoutMember): number =>
  a.dataCentre.localeCompare(b.dataCentre) || compareSpeed(a, b)

const compareSpeed = (a: LayoutMember, b: LayoutMember): number =>
  a.type.stepFactor - b.type.stepFactor || a.address.localeCompare(b.address)

/** The best way to cut the first members of a list into groups. */
interface Cut {
  rate: number
  /** Members of the last group; 0 if the last member stays outside. */
  size: number
  plan: GroupPlan | undefined
}

/** Cuts a list into groups of neighbours with the greatest sum of rates. */
const cutIntoGroups = (members: readonly LayoutMember[], engine: EngineTerms): { groups: Group[], left: LayoutMember[] } => {
  const cuts: Cut[] = [{ rate: 0, size: 0, plan: undefined }]
  for (let end = 1; end <= members.length; end++) {
    let best: Cut = { rate: (cuts[end - 1] as Cut).rate, size: 0, plan: undefined }
    for (let size = 1; size <= Math.min(end, maxGroupSize); size++) {
      const plan = planGroup(members.slice(end - size, end), engine)
      if (plan === undefined) continue
      const rate = (cuts[end - size] as Cut).rate + plan.rate
      if (rate > best.rate) best = { rate, size, plan }
    }
    cuts.push(best)
  }
  const groups: Group[] = []
  const left: LayoutMember[] = []
  for (let end = members.length; end > 0;) {
    const { size, plan } = cuts[end] as Cut
    if (plan === undefined) left.push(members[end - 1] as LayoutMember)
    else groups.push({ members: members.slice(end - size, end), plan })
    end -= Math.max(1, size)
  }
  return { groups, left }
}

const assignGroup = ({ members, plan }: Group, wave: number): LayerAssignment[] => {
  let from = 0
  const assignments: LayerAssignment[] = []
  for (const [index, member] of members.entries()) {
    const to = from + (plan.shares[index] as number)
    if (to > from) assignments.push({ address: member.address, from, to, wave })
    from = to
  }
  return assignments
}

/** Finds the span of a length whose layers have the fewest copies. */
const findScarcest = (copies: readonly number[], length: number): LayerSpan => {
  let best = { from: 0, to: length }
  let bestNeed = -Infinity
  for (let from = 0; from + length <= copies.length; from++) {
    const need = copies.slice(from, from + length).reduce((sum, count) => sum + 1 / (1 + count) ** 2, 0)
    if (need <= bestNeed) continue
    bestNeed = need
    best = { from, to: from + length }
  }
  return best
}

/**
 * Plans the layers of a fleet from nothing.
 *
 * @param members - endpoints that may hold layers
 * @param engine - the model
 * @returns assignments; members without one stay empty
 */
export const planLayout = (members: readonly LayoutMember[], engine: EngineTerms): LayerAssignment[] => {
  const groups: Group[] = []
  const left: LayoutMember[] = []
  for (const dataCentre of [...new Set(members.map((member) => member.dataCentre))].sort()) {
    const local = cutIntoGroups(members.filter((member) => member.dataCentre === dataCentre).sort(compareSpeed), engine)
    groups.push(...local.groups)
    left.push(...local.left)
  }
  const joined = cutIntoGroups(left.sort(comparePlaces), engine)
  groups.push(...joined.groups)
  groups.sort((a, b) => b.plan.rate - a.plan.rate)
  const assignments = groups.flatMap((group, wave) => assignGroup(group, wave))
  return [...assignments, ...assignSpares(assignments, joined.left, engine)]
}

/** Gives endpoints outside every group the layers with the fewest copies. */
const assignSpares = (
  assignments: readonly LayerAssignment[],
  spares: readonly LayoutMember[],
  engine: EngineTerms
): LayerAssignment[] => {
  const copies = countCopies(assignments, engine.layers)
  const added: LayerAssignment[] = []
  for (const spare of spares) {
    const length = computeCapacity(spare.type, engine, spareRoomTokens)
    if (length === 0) continue
    const span = findScarcest(copies, length)
    for (let layer = span.from; layer < span.to; layer++) copies[layer] = (copies[layer] as number) + 1
    added.push({ address: spare.address, ...span, wave: spareWave })
  }
  return added
}

/** Gives the spans of endpoints that have gone to empty ones that can hold them, of the same type and data centre first. */
const replaceLost = (
  lost: readonly LayerAssignment[],
  empty: LayoutMember[],
  known: ReadonlyMap<string, LayoutMember>,
  engine: EngineTerms
): LayerAssignment[] => {
  const taken: LayerAssignment[] = []
  for (const assignment of [...lost].sort((a, b) => a.wave - b.wave)) {
    const gone = known.get(assignment.address)
    // A new holder of the lease may never have seen who held the span, so its length decides.
    const length = assignment.to - assignment.from
    const fitting = empty.filter((member) => gone === undefined
      ? length <= computeCapacity(member.type, engine, leastRoomTokens)
      : member.type.name === gone.type.name)
    const next = fitting.find((member) => member.dataCentre === gone?.dataCentre) ?? fitting[0]
    if (next === undefined) continue
    empty.splice(empty.indexOf(next), 1)
    taken.push({ ...assignment, address: next.address })
  }
  return taken
}

/**
 * Changes a layout after endpoints have come or gone, with as few loads as possible: who stays keeps its layers, who is
 * new takes the place of one that has gone or else the layers with the fewest copies.
 *
 * @param present - the layout in force
 * @param members - endpoints that live now
 * @param known - endpoints that live or have lived, by address
 * @param engine - the model
 */
export const repairLayout = (
  present: readonly LayerAssignment[],
  members: readonly LayoutMember[],
  known: ReadonlyMap<string, LayoutMember>,
  engine: EngineTerms
): LayerAssignment[] => {
  const live = new Map(members.map((member) => [member.address, member]))
  const kept = present.filter((assignment) => live.has(assignment.address))
  if (kept.length === 0) return planLayout(members, engine)
  const assigned = new Set(kept.map((assignment) => assignment.address))
  const empty = members.filter((member) => !assigned.has(member.address)).sort(compareSpeed)
  const lost = present.filter((assignment) => !live.has(assignment.address))
  const filled = [...kept, ...replaceLost(lost, empty, known, engine)]
  return [...filled, ...assignSpares(filled, empty, engine)]
}

/**
 * Widens the spans of a group over the layers of members that do not answer, so that its data centre has all layers
 * again. Nobody gives layers up, and whoever returns finds its own span unchanged.
 *
 * @param present - the layout in force
 * @param absent - addresses of endpoints that do not answer
 * @param known - endpoints by address
 * @returns the layout, or the present one itself if nothing can be widened
 */
export const coverAbsent = (
  present: readonly LayerAssignment[],
  absent: ReadonlySet<string>,
  known: ReadonlyMap<string, LayoutMember>,
  engine: EngineTerms
): readonly LayerAssignment[] => {
  const result = present.map((assignment) => ({ ...assignment }))
  let hasChanged = false
  for (const wave of new Set(present.map((assignment) => assignment.wave))) {
    if (wave === spareWave) continue
    const group = result.filter((assignment) => assignment.wave === wave && !absent.has(assignment.address) && known.has(assignment.address))
    while (widenOne(group, known, engine)) hasChanged = true
  }
  return hasChanged ? result : present
}

/** Widens one span of a group by one layer into its first gap. @returns whether there was a gap that could be narrowed */
const widenOne = (group: LayerAssignment[], known: ReadonlyMap<string, LayoutMember>, engine: EngineTerms): boolean => {
  const copies = countCopies(group, engine.layers)
  const gap = copies.indexOf(0)
  if (gap === -1) return false
  const end = copies.findIndex((count, layer) => layer > gap && count > 0)
  const getSpace = (assignment: LayerAssignment): number => {
    const member = known.get(assignment.address) as LayoutMember
    return computeCapacity(member.type, engine, leastRoomTokens) - (assignment.to - assignment.from)
  }
  const neighbours = group.filter((other) => getSpace(other) > 0 && (other.to === gap || (end !== -1 && other.from === end)))
  const best = neighbours.sort((a, b) => getSpace(b) - getSpace(a))[0]
  if (best === undefined) return false
  if (best.to === gap) best.to++
  else best.from--
  return true
}
