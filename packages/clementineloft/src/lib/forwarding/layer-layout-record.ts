/**
 * Stored form of a service's layer layout: one object per service, written by the lease holder and read by all sidecars.
 */
import type { KindObject } from '@clementineloft/coordination'
import type { LayerAssignment } from '@clementineloft/routing'

/** Object kind of layouts; each object is named after its service. */
export const layoutKind = 'clementineloft-layouts'
/** Object kind of leases; each object is named after its service. */
export const leaseKind = 'clementineloft-leases'

/** A layout as read from the store. */
export interface LayoutRecord {
  /** Revision of the object; serves as the fencing token of orders derived from the layout. */
  revision: number
  assignments: LayerAssignment[]
}

/** @returns the object's spec to store */
export const createLayoutSpec = (assignments: readonly LayerAssignment[]): unknown => ({ assignments })

/** @returns the layout in an object; without assignments if the spec cannot be parsed */
export const readLayoutRecord = (object: KindObject): LayoutRecord => {
  const { assignments } = (object.spec ?? {}) as { assignments?: LayerAssignment[] }
  return { revision: object.revision, assignments: Array.isArray(assignments) ? assignments : [] }
}
