/**
 * Loads that a change of the layout asks for.
 */
import type { LayerAssignment } from '@clementineloft/routing'

/** @returns how many endpoints must load layers that they do not hold */
export const countLoads = (before: readonly LayerAssignment[], after: readonly LayerAssignment[]): number => {
  const held = new Map(before.map((assignment) => [assignment.address, assignment]))
  return after.filter(({ address, from, to }) => {
    const own = held.get(address)
    return own === undefined || from < own.from || to > own.to
  }).length
}
