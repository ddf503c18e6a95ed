/**
 * After stages were replaced: from which position each stage must send again so that the next one misses nothing.
 */
import type { StatusFrame } from './frames.js'

/** What to do to continue a request on a changed pipeline. */
export interface Alignment {
  /** Position from which the entry feeds the first stage. */
  feedFrom: number
  /** Position from which each stage sends its outputs, in order of stages. */
  forwardFrom: number[]
  /** Whether the logs suffice. If not, every stage must start from the prompt. */
  isCovered: boolean
}

/**
 * Computes where each stage continues.
 *
 * @param statuses - what each stage has accepted and logged, in order of stages; at least one
 * @param deliveredTo - position after the last one whose token the entry holds
 */
export const computeAlignment = (statuses: readonly StatusFrame[], deliveredTo: number): Alignment => {
  const acceptedTo = [...statuses.map((status) => status.acceptedTo), deliveredTo]
  const forwardFrom = statuses.map((_, stage) => acceptedTo[stage + 1] as number)
  const isCovered = statuses.every((status, stage) => status.loggedFrom <= (forwardFrom[stage] as number))
  return { feedFrom: acceptedTo[0] as number, forwardFrom, isCovered }
}

/**
 * Finds a stage that does not receive what the stage before it has sent.
 *
 * @param earlier - statuses of an earlier probe, in order of stages
 * @param later - statuses of a later probe
 * @returns the stage whose inputs are stuck on the link, or `undefined`
 */
export const findStuckStage = (
  earlier: readonly StatusFrame[],
  later: readonly StatusFrame[]
): number | undefined => {
  const stuck = later.findIndex((status, stage) => {
    const before = earlier[stage - 1]
    const isUnmoved = earlier[stage]?.acceptedTo === status.acceptedTo
    return stage > 0 && before !== undefined && isUnmoved && before.completedTo > status.acceptedTo
  })
  return stuck === -1 ? undefined : stuck
}
