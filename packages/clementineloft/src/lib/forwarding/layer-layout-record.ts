/**
 * Stored form of a service's layer layout: one object per service, written by the lease holder and read by all sidecars.
 */
import type { KindObject } from '@clementineloft/coordination'
import { findLayoutGoal, LayoutGoal } from '@clementineloft/routing'
import type { CallEndpoint, LayerAssignment } from '@clementineloft/routing'
import type { ReportRequest } from './report-codec.js'

/** Object kind of layouts; each object is named after its service. */
export const layoutKind = 'clementineloft-layouts'
/** Object kind of leases; each object is named after its service. */
export const leaseKind = 'clementineloft-leases'

/** A layout as read from the store. */
export interface LayoutRecord {
  /** Revision of the object; serves as the fencing token of orders derived from the layout. */
  revision: number
  assignments: LayerAssignment[]
  /** What the layout is planned for. */
  goal: LayoutGoal
}

/** @returns the object's spec to store; without the goal if it is {@link LayoutGoal.memory}, as earlier versions write it */
export const createLayoutSpec = (assignments: readonly LayerAssignment[], goal: LayoutGoal): unknown =>
  goal === LayoutGoal.memory ? { assignments } : { assignments, goal }

/** @returns the layout in an object; without assignments if the spec cannot be parsed, for memory if its goal is not known */
export const readLayoutRecord = (object: KindObject): LayoutRecord => {
  const { assignments, goal } = (object.spec ?? {}) as { assignments?: LayerAssignment[], goal?: unknown }
  return {
    revision: object.revision,
    assignments: Array.isArray(assignments) ? assignments : [],
    goal: findLayoutGoal(goal) ?? LayoutGoal.memory
  }
}

/**
 * @param object - the latest layout; `undefined` if there is none
 * @returns one report request per endpoint, with the layers that the layout assigns to it
 */
export const listAssignmentRequests = (object: KindObject | undefined, endpoints: readonly CallEndpoint[]): ReportRequest[] => {
  const { revision, assignments } = object === undefined ? { revision: 0, assignments: [] } : readLayoutRecord(object)
  const spans = new Map(assignments.map(({ address, from, to }) => [address, { from, to }]))
  return endpoints.map(({ address }) => {
    const span = spans.get(address)
    return span === undefined ? { address } : { address, assignment: { revision, span } }
  })
}
