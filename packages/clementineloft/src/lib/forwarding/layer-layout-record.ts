/**
 * The layout of a service's layers as the store keeps it: one object for each service, written by the holder of the
 * lease and read by all sidecars.
 */
import type { KindObject } from '@clementineloft/coordination'
import type { LayerAssignment } from '@clementineloft/routing'

/** Kind of the layouts; the name of an object is that of the service. */
export const layoutKind = 'clementineloft-layouts'
/** Kind of the leases; the name of an object is that of the service. */
export const leaseKind = 'clementineloft-leases'

/** A layout as read from the store. */
export interface LayoutRecord {
  /** Revision of the object; the fencing number of orders that follow the layout. */
  revision: number
  assignments: LayerAssignment[]
}

/** @returns the value to store */
export const createLayoutSpec = (assignments: readonly LayerAssignment[]): unknown => ({ assignments })

/** @returns the layout in an object; without assignments if it cannot be read */
export const readLayoutRecord = (object: KindObject): LayoutRecord => {
  const { assignments } = (object.spec ?? {}) as { assignments?: LayerAssignment[] }
  return { revision: object.revision, assignments: Array.isArray(assignments) ? assignments : [] }
}
