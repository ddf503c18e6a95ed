/**
 * The fleet on which loads are replayed: accelerators of three types in three data centres, with the router's own layout.
 */
import { coverAbsent, planLayout, repairLayout } from '@clementineloft/routing'
import type { CallEndpoint, LayerAssignment, LayoutMember } from '@clementineloft/routing'
import { createEndpoints, createMembers, engine } from '@clementineloft/routing/test-fleet'
import { computeFlowBound } from './flow-bound.js'
import { CostPlacing } from './placing-policy.js'
import type { CreatePlacing } from './placing-policy.js'

/** Entries that send to the fleet. */
export const entryCount = 8

/** A fleet with its layers. */
export interface MixedFleet {
  layout: readonly LayerAssignment[]
  /** Endpoints that hold layers. */
  endpoints: CallEndpoint[]
  /** Most streams a second that it can serve. */
  bound: number
}

/** @returns the fleet without lost endpoints, and a layout in which neighbours have widened over them */
export const widenOverLost = (lost: ReadonlySet<string>): { members: LayoutMember[], layout: readonly LayerAssignment[] } => {
  const members = createMembers()
  const index = new Map(members.map((member) => [member.address, member]))
  const live = members.filter(({ address }) => !lost.has(address))
  const repaired = repairLayout(planLayout(members, engine), live, index, engine)
  return { members: live, layout: coverAbsent(repaired, new Set(), index, engine) }
}

/** @returns a fleet with a given layout */
export const createFleet = (members: readonly LayoutMember[], layout: readonly LayerAssignment[]): MixedFleet => {
  const endpoints = createEndpoints(members, layout).filter((endpoint) => endpoint.layers !== undefined)
  return { layout, endpoints, bound: computeFlowBound(endpoints, engine) }
}

/** @returns the fleet */
export const createMixedFleet = (): MixedFleet => {
  const members = createMembers()
  return createFleet(members, planLayout(members, engine))
}

/** @returns the router's own way to place, for so many entries that send to the fleet */
export const createCostPlacing = (entries: number): CreatePlacing =>
  (dataCentre, clock) => new CostPlacing(engine, dataCentre, entries, clock)

/** Creates the router's own way to place. */
export const createOwnPlacing: CreatePlacing = createCostPlacing(entryCount)
