/**
 * Describes a layout in a few numbers, for the journal and for gauges.
 */
import { countCopies } from './count-copies.js'
import type { LayerAssignment } from './layer-layout.js'
import { spareWave } from './layer-layout.js'

/** Numbers that show how well a layout is replicated. */
export interface LayoutDescription {
  /** Number of groups, each of which holds the model once between its endpoints. */
  groups: number
  /** Number of endpoints outside every group. */
  spares: number
  /** Number of copies of the layer with the fewest copies. */
  fewestCopies: number
}

/** @param layers - number of layers of the model */
export const describeLayout = (assignments: readonly LayerAssignment[], layers: number): LayoutDescription => ({
  groups: new Set(assignments.flatMap(({ wave }) => wave === spareWave ? [] : [wave])).size,
  spares: assignments.filter(({ wave }) => wave === spareWave).length,
  fewestCopies: Math.min(...countCopies(assignments, layers))
})
