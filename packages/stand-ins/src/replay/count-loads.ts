/**
 * Counts the endpoints that must load layers when the layout changes.
 */
import type { LayerAssignment } from '@clementineloft/routing'

/** @returns number of endpoints that are assigned layers outside the range that they hold */
export const countLoads = (before: readonly LayerAssignment[], after: readonly LayerAssignment[]): number => {
  const held = new Map(before.map((assignment) => [assignment.address, assignment]))
  return after.filter(({ address, from, to }) => {
    const own = held.get(address)
    return own === undefined || from < own.from || to > own.to
  }).length
}
