/**
 * Builds the fleet for replayed loads: accelerators of three types in three data centres, with the layout that the
 * router's planner computes.
 */
import { coverAbsent, planLayout, repairLayout } from '@clementineloft/routing'
import type { CallEndpoint, LayerAssignment, LayoutMember } from '@clementineloft/routing'
import { createEndpoints, createMembers, engine } from '@clementineloft/routing/test-fleet'
import { computeFlowBound } from './flow-bound.js'
import { LeastCostPlacement } from './placement-policy.js'
import type { PlacementFactory } from './placement-policy.js'

/** Number of entries that send streams to the fleet. */
export const entryCount = 8

/** A fleet with its layout. */
export interface MixedFleet {
  layout: readonly LayerAssignment[]
  /** Endpoints that hold layers; others are left out. */
  endpoints: CallEndpoint[]
  /** Upper bound on the streams per second that the fleet can serve, from {@link computeFlowBound}. */
  bound: number
}

/**
 * @param lost - addresses of the lost endpoints
 * @returns members of the fleet that remain, and the repaired layout, in which neighbours take over the layers of the
 *   lost endpoints
 */
export const repairAfterLoss = (lost: ReadonlySet<string>): { members: LayoutMember[], layout: readonly LayerAssignment[] } => {
  const members = createMembers()
  const index = new Map(members.map((member) => [member.address, member]))
  const live = members.filter(({ address }) => !lost.has(address))
  const repaired = repairLayout(planLayout(members, engine), live, index, engine)
  return { members: live, layout: coverAbsent(repaired, new Set(), index, engine) }
}

/** @returns the fleet of the given members and layout */
export const createFleet = (members: readonly LayoutMember[], layout: readonly LayerAssignment[]): MixedFleet => {
  const endpoints = createEndpoints(members, layout).filter((endpoint) => endpoint.layers !== undefined)
  return { layout, endpoints, bound: computeFlowBound(endpoints, engine) }
}

/** @returns the mixed fleet with a newly planned layout */
export const createMixedFleet = (): MixedFleet => {
  const members = createMembers()
  return createFleet(members, planLayout(members, engine))
}

/** @returns a factory of the router's placement policy for the given number of entries that send to the fleet */
export const createLeastCostFactory = (entries: number): PlacementFactory =>
  (dataCentre, clock) => new LeastCostPlacement(engine, dataCentre, entries, clock)

/** Creates the router's placement policy for {@link entryCount} entries. */
export const createRouterPlacement: PlacementFactory = createLeastCostFactory(entryCount)
