/**
 * The stages of one request, with the latest status that each has reported in the current attempt.
 */
import type { Hop, StatusFrame } from './frames.js'
import type { StageEndpoint } from './model-graph.js'

/** One stage of a pipeline and the endpoint that runs it. */
export interface PipelineStage {
  endpoint: StageEndpoint
  /** Attempt in which this endpoint joined the pipeline. */
  joinedAttempt: number
  /** Latest status that the endpoint has reported. */
  status: StatusFrame | undefined
  /** Whether the endpoint has answered the latest open, reroute or probe. */
  hasAnswered: boolean
}

const createStage = (endpoint: StageEndpoint, joinedAttempt: number): PipelineStage =>
  ({ endpoint, joinedAttempt, status: undefined, hasAnswered: false })

/** Stages of a pipeline in layer order. */
export class Pipeline {
  private stages: PipelineStage[]

  /**
   * @param endpoints - endpoints in layer order
   * @param attempt - attempt in which they join
   */
  constructor (endpoints: readonly StageEndpoint[], attempt: number) {
    this.stages = endpoints.map((endpoint) => createStage(endpoint, attempt))
  }

  /** @returns all stages in layer order */
  list (): readonly PipelineStage[] {
    return this.stages
  }

  /** @returns the stage at an endpoint, or `undefined` */
  find (endpoint: string): PipelineStage | undefined {
    return this.stages.find((stage) => stage.endpoint.name === endpoint)
  }

  /** @returns zero-based index of a stage in the pipeline */
  getIndex (stage: PipelineStage): number {
    return this.stages.indexOf(stage)
  }

  /** @returns where a stage sends its outputs, or `undefined` for the last stage */
  getNextHop (stage: PipelineStage): Hop | undefined {
    const next = this.stages[this.getIndex(stage) + 1]?.endpoint
    return next === undefined ? undefined : { endpoint: next.name, address: next.address }
  }

  /** @returns whether the stage is the last, which generates the tokens */
  isLast (stage: PipelineStage): boolean {
    return stage === this.stages.at(-1)
  }

  /** @returns whether every stage has answered the latest open, reroute or probe */
  hasAllAnswers (): boolean {
    return this.stages.every((stage) => stage.hasAnswered)
  }

  /** @returns stages that have not answered the latest open, reroute or probe */
  listUnanswered (): PipelineStage[] {
    return this.stages.filter((stage) => !stage.hasAnswered)
  }

  /** @returns the latest status of every stage; valid only once all stages have answered */
  listStatuses (): StatusFrame[] {
    return this.stages.map((stage) => stage.status as StatusFrame)
  }

  /**
   * Replaces lost stages with stages at other endpoints.
   *
   * @param lost - stages to replace
   * @param endpoints - their replacements, in the same order
   * @param attempt - attempt in which they join
   * @returns the added stages, and the stages that were not replaced
   */
  replace (
    lost: readonly PipelineStage[],
    endpoints: readonly StageEndpoint[],
    attempt: number
  ): { added: PipelineStage[], remaining: PipelineStage[] } {
    const added = endpoints.map((endpoint) => createStage(endpoint, attempt))
    const remaining = this.stages.filter((stage) => !lost.includes(stage))
    this.stages = this.stages.map((stage) => added[lost.indexOf(stage)] ?? stage)
    return { added, remaining }
  }
}
