/**
 * Assigns layers of a model to endpoints.
 *
 * Addresses prompts that all cross a narrow link between data centres: groups of endpoints that together hold the model
 * are formed inside one data centre first, and only the remaining endpoints form groups across data centres. Within a
 * data centre, the groups are chosen to maximize their total request rate. After a loss, the remaining endpoints keep
 * their layers, so that few layers are loaded again.
 */
import type { LayerSpan } from '../calls/call-endpoint.js'
import { countCopies } from './count-copies.js'
import { computeMaxLayers, planGroup } from './group-rate.js'
import type { GroupPlan, LayoutMember } from './group-rate.js'
import type { LayoutTerms } from './layout-goal.js'

/** The layers of one endpoint. */
export interface LayerAssignment extends LayerSpan {
  address: string
  /** Number of its group, ordered by rate: 0 is the fastest; {@link spareWave} for an endpoint outside every group. */
  wave: number
}

interface Group {
  members: LayoutMember[]
  plan: GroupPlan
}

/** Maximum number of members of a group; each member adds a hop to every token. */
const maxGroupMembers = 16
/** Wave of endpoints outside every group. */
export const spareWave = 1000
/** Request tokens for which an endpoint outside every group reserves memory. */
const spareTokenCapacity = 24_000
/** Minimum request tokens for which memory remains when a span is widened or taken over by an endpoint. */
const minTokenCapacity = 12_000

const compareByDataCentre = (a: LayoutMember, b: LayoutMember): number =>
  a.dataCentre.localeCompare(b.dataCentre) || compareBySpeed(a, b)

const compareBySpeed = (a: LayoutMember, b: LayoutMember): number =>
  a.type.stepFactor - b.type.stepFactor || a.address.localeCompare(b.address)

/** The partition of the first members of a list with the highest total rate. */
interface Partition {
  rate: number
  /** Number of members of the last group; 0 if the last member belongs to no group. */
  lastGroupSize: number
  plan: GroupPlan | undefined
}

/** Partitions a list into groups of consecutive members with the highest total rate, by dynamic programming. */
const computePartition = (members: readonly LayoutMember[], engine: LayoutTerms): { groups: Group[], left: LayoutMember[] } => {
  const partitions: Partition[] = [{ rate: 0, lastGroupSize: 0, plan: undefined }]
  for (let end = 1; end <= members.length; end++) {
    let best: Partition = { rate: (partitions[end - 1] as Partition).rate, lastGroupSize: 0, plan: undefined }
    for (let size = 1; size <= Math.min(end, maxGroupMembers); size++) {
      const plan = planGroup(members.slice(end - size, end), engine)
      if (plan === undefined) continue
      const rate = (partitions[end - size] as Partition).rate + plan.rate
      if (rate > best.rate) best = { rate, lastGroupSize: size, plan }
    }
    partitions.push(best)
  }
  const groups: Group[] = []
  const left: LayoutMember[] = []
  for (let end = members.length; end > 0;) {
    const { lastGroupSize: size, plan } = partitions[end] as Partition
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

/** Finds the span of a given length whose layers have the fewest copies. */
const findLeastReplicated = (copies: readonly number[], length: number): LayerSpan => {
  let best = { from: 0, to: length }
  let bestScarcity = -Infinity
  for (let from = 0; from + length <= copies.length; from++) {
    const scarcity = copies.slice(from, from + length).reduce((sum, count) => sum + 1 / (1 + count) ** 2, 0)
    if (scarcity <= bestScarcity) continue
    bestScarcity = scarcity
    best = { from, to: from + length }
  }
  return best
}

/**
 * Plans the layers of a fleet without regard to what its endpoints hold.
 *
 * @param members - endpoints that may hold layers
 * @param engine - the model
 * @returns assignments; members without an assignment hold no layers
 */
export const planLayout = (members: readonly LayoutMember[], engine: LayoutTerms): LayerAssignment[] => {
  const groups: Group[] = []
  const left: LayoutMember[] = []
  for (const dataCentre of [...new Set(members.map((member) => member.dataCentre))].sort()) {
    const local = computePartition(members.filter((member) => member.dataCentre === dataCentre).sort(compareBySpeed), engine)
    groups.push(...local.groups)
    left.push(...local.left)
  }
  const remainder = computePartition(left.sort(compareByDataCentre), engine)
  groups.push(...remainder.groups)
  groups.sort((a, b) => b.plan.rate - a.plan.rate)
  const assignments = groups.flatMap((group, wave) => assignGroup(group, wave))
  return [...assignments, ...assignSpares(assignments, remainder.left, engine)]
}

/** Assigns the layers with the fewest copies to endpoints outside every group. */
const assignSpares = (
  assignments: readonly LayerAssignment[],
  spares: readonly LayoutMember[],
  engine: LayoutTerms
): LayerAssignment[] => {
  const copies = countCopies(assignments, engine.layers)
  const added: LayerAssignment[] = []
  for (const spare of spares) {
    const length = computeMaxLayers(spare.type, engine, spareTokenCapacity)
    if (length === 0) continue
    const span = findLeastReplicated(copies, length)
    for (let layer = span.from; layer < span.to; layer++) copies[layer] = (copies[layer] as number) + 1
    added.push({ address: spare.address, ...span, wave: spareWave })
  }
  return added
}

/** Assigns the spans of lost endpoints to empty ones that can hold them, preferring the same type and data centre. */
const assignLostSpans = (
  lost: readonly LayerAssignment[],
  empty: LayoutMember[],
  known: ReadonlyMap<string, LayoutMember>,
  engine: LayoutTerms
): LayerAssignment[] => {
  const reassigned: LayerAssignment[] = []
  for (const assignment of [...lost].sort((a, b) => a.wave - b.wave)) {
    const lostMember = known.get(assignment.address)
    // A new lease holder may never have observed the lost endpoint, so the length of the span decides.
    const length = assignment.to - assignment.from
    const suitable = empty.filter((member) => lostMember === undefined
      ? length <= computeMaxLayers(member.type, engine, minTokenCapacity)
      : member.type.name === lostMember.type.name)
    const next = suitable.find((member) => member.dataCentre === lostMember?.dataCentre) ?? suitable[0]
    if (next === undefined) continue
    empty.splice(empty.indexOf(next), 1)
    reassigned.push({ ...assignment, address: next.address })
  }
  return reassigned
}

/**
 * Changes a layout after endpoints have joined or left, with as few loads as possible: remaining endpoints keep their
 * layers, and new ones take the span of a lost endpoint or else the layers with the fewest copies.
 *
 * @param current - the current layout
 * @param members - live endpoints
 * @param known - current and former endpoints, by address
 * @param engine - the model
 */
export const repairLayout = (
  current: readonly LayerAssignment[],
  members: readonly LayoutMember[],
  known: ReadonlyMap<string, LayoutMember>,
  engine: LayoutTerms
): LayerAssignment[] => {
  const live = new Map(members.map((member) => [member.address, member]))
  const kept = current.filter((assignment) => live.has(assignment.address))
  if (kept.length === 0) return planLayout(members, engine)
  const assigned = new Set(kept.map((assignment) => assignment.address))
  const empty = members.filter((member) => !assigned.has(member.address)).sort(compareBySpeed)
  const lost = current.filter((assignment) => !live.has(assignment.address))
  const filled = [...kept, ...assignLostSpans(lost, empty, known, engine)]
  return [...filled, ...assignSpares(filled, empty, engine)]
}

/**
 * Widens the spans of a group over the layers of members that do not respond, so that its data centre has all layers
 * again. No endpoint releases layers, and an endpoint that returns finds its own span unchanged.
 *
 * @param current - the current layout
 * @param absent - addresses of endpoints that do not respond
 * @param known - endpoints by address
 * @returns the widened layout, or `current` itself if no span can be widened
 */
export const coverAbsent = (
  current: readonly LayerAssignment[],
  absent: ReadonlySet<string>,
  known: ReadonlyMap<string, LayoutMember>,
  engine: LayoutTerms
): readonly LayerAssignment[] => {
  const result = current.map((assignment) => ({ ...assignment }))
  let hasWidened = false
  for (const wave of new Set(current.map((assignment) => assignment.wave))) {
    if (wave === spareWave) continue
    const group = result.filter((assignment) => assignment.wave === wave && !absent.has(assignment.address) && known.has(assignment.address))
    while (widenByOneLayer(group, known, engine)) hasWidened = true
  }
  return hasWidened ? result : current
}

/** Widens one span of a group by one layer into the first gap of the group. @returns whether a span could be widened */
const widenByOneLayer = (group: LayerAssignment[], known: ReadonlyMap<string, LayoutMember>, engine: LayoutTerms): boolean => {
  const copies = countCopies(group, engine.layers)
  const gap = copies.indexOf(0)
  if (gap === -1) return false
  const end = copies.findIndex((count, layer) => layer > gap && count > 0)
  const getFreeLayers = (assignment: LayerAssignment): number => {
    const member = known.get(assignment.address) as LayoutMember
    return computeMaxLayers(member.type, engine, minTokenCapacity) - (assignment.to - assignment.from)
  }
  const neighbours = group.filter((other) => getFreeLayers(other) > 0 && (other.to === gap || (end !== -1 && other.from === end)))
  const best = neighbours.sort((a, b) => getFreeLayers(b) - getFreeLayers(a))[0]
  if (best === undefined) return false
  if (best.to === gap) best.to++
  else best.from--
  return true
}
