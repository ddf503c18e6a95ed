/**
 * Names what a layout of layers is planned for.
 */
import type { EngineConfig } from '../calls/call-config.js'

/** What a layout is planned for. */
export const LayoutGoal = {
  /** The most requests that fit into memory at once, over the time that they stay: few large groups. */
  memory: 'memory',
  /** The same, counting that requests in a batch slow one another down at each endpoint: more and smaller groups. */
  time: 'time'
} as const
export type LayoutGoal = typeof LayoutGoal[keyof typeof LayoutGoal]

/** A model, and what its layout is planned for. */
export interface LayoutTerms extends EngineConfig {
  /** {@link LayoutGoal.memory} if absent. */
  goal?: LayoutGoal
}

/** @returns the goal with the given name, or `undefined` if there is none */
export const findLayoutGoal = (name: unknown): LayoutGoal | undefined => Object.values(LayoutGoal).find((goal) => goal === name)

/** A layout with its goal, as it was planned. */
export interface PlannedLayout {
  assignments: readonly unknown[]
  /** {@link LayoutGoal.memory} if absent. */
  goal?: LayoutGoal
}

/**
 * @param stored - the current layout; `undefined` if there is none
 * @param configured - goal in the settings of the process that decides
 * @returns the goal to decide with: that of the current layout, so that processes whose settings differ during a rollout
 *   do not change the layout back and forth
 */
export const chooseLayoutGoal = (stored: PlannedLayout | undefined, configured: LayoutGoal): LayoutGoal =>
  stored === undefined || stored.assignments.length === 0 ? configured : stored.goal ?? LayoutGoal.memory
