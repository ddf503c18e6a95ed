/**
 * Computes, after stages were replaced, the position from which each stage must resend its outputs so that the next stage
 * receives every position.
 */
import type { StatusFrame } from './frames.js'

/** The positions from which a request continues on a changed pipeline. */
export interface Alignment {
  /** Position from which the entry feeds the first stage. */
  feedFrom: number
  /** For each stage in order, the position from which it sends its outputs. */
  forwardFrom: number[]
  /** Whether the output logs still hold all these positions. If not, every stage must restart from the prompt. */
  isReplayable: boolean
}

/**
 * Computes the position from which each stage continues.
 *
 * @param statuses - status of each stage, with the positions accepted and logged, in stage order; at least one
 * @param deliveredTo - position after the last one whose token the entry has received
 * @returns the position from which the entry and each stage send, and whether the logs reach back that far
 */
export const computeAlignment = (statuses: readonly StatusFrame[], deliveredTo: number): Alignment => {
  const acceptedTo = [...statuses.map((status) => status.acceptedTo), deliveredTo]
  const forwardFrom = statuses.map((_, stage) => acceptedTo[stage + 1] as number)
  const isReplayable = statuses.every((status, stage) => status.loggedFrom <= (forwardFrom[stage] as number))
  return { feedFrom: acceptedTo[0] as number, forwardFrom, isReplayable }
}

/**
 * Finds a stage that does not receive the outputs of the previous stage: it has accepted nothing between two probes,
 * although the previous stage had already completed more positions at the earlier probe.
 *
 * @param earlier - statuses of an earlier probe, in stage order
 * @param later - statuses of a later probe, in stage order
 * @returns index of the first such stage, or `undefined`
 */
export const findStuckStage = (
  earlier: readonly StatusFrame[],
  later: readonly StatusFrame[]
): number | undefined => {
  const stuckStage = later.findIndex((status, stage) => {
    const previousStage = earlier[stage - 1]
    const hasNotAdvanced = earlier[stage]?.acceptedTo === status.acceptedTo
    return stage > 0 && previousStage !== undefined && hasNotAdvanced && previousStage.completedTo > status.acceptedTo
  })
  return stuckStage === -1 ? undefined : stuckStage
}
