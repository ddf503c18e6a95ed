/**
 * The fleet on which loads are replayed: accelerators of three types in three data centres, with the router's own layout.
 */
import { planLayout } from '@clementineloft/routing'
import type { CallEndpoint, LayerAssignment } from '@clementineloft/routing'
import { createEndpoints, createMembers, engine } from '@clementineloft/routing/test-fleet'
import { computeFlowBound } from './flow-bound.js'
import { CostPlacing } from './placing-policy.js'
import type { CreatePlacing } from './placing-policy.js'

/** Entries that send to the fleet. */
export const entryCount = 8

/** A fleet with its layers. */
export interface MixedFleet {
  layout: LayerAssignment[]
  /** Endpoints that hold layers. */
  endpoints: CallEndpoint[]
  /** Most streams a second that it can serve. */
  bound: number
}

/** @returns the fleet */
export const createMixedFleet = (): MixedFleet => {
  const members = createMembers()
  const layout = planLayout(members, engine)
  const endpoints = createEndpoints(members, layout).filter((endpoint) => endpoint.layers !== undefined)
  return { layout, endpoints, bound: computeFlowBound(endpoints, engine) }
}

/** Creates the router's own way to place. */
export const createOwnPlacing: CreatePlacing = (dataCentre, clock) => new CostPlacing(engine, dataCentre, entryCount, clock)
