/**
 * The stages of one request, and what each has said of itself in the present attempt.
 */
import type { Hop, StatusFrame } from './frames.js'
import type { StageEndpoint } from './model-graph.js'

/** One endpoint's part of a pipeline. */
export interface PipelineStage {
  endpoint: StageEndpoint
  /** Attempt in which this endpoint joined the pipeline. */
  joined: number
  /** Its latest status. */
  status: StatusFrame | undefined
  /** Whether it has answered the latest open, reroute or probe. */
  isAnswered: boolean
}

const createStage = (endpoint: StageEndpoint, joined: number): PipelineStage =>
  ({ endpoint, joined, status: undefined, isAnswered: false })

/** Stages in order of layers. */
export class Pipeline {
  private stages: PipelineStage[]

  /**
   * @param endpoints - endpoints in order of layers
   * @param attempt - attempt that begins with them
   */
  constructor (endpoints: readonly StageEndpoint[], attempt: number) {
    this.stages = endpoints.map((endpoint) => createStage(endpoint, attempt))
  }

  /** @returns all stages in order */
  list (): readonly PipelineStage[] {
    return this.stages
  }

  /** @returns the stage at an endpoint, or `undefined` */
  find (endpoint: string): PipelineStage | undefined {
    return this.stages.find((stage) => stage.endpoint.name === endpoint)
  }

  /** @returns position of a stage in the pipeline */
  getIndex (stage: PipelineStage): number {
    return this.stages.indexOf(stage)
  }

  /** @returns where a stage sends its outputs, or `undefined` for the last */
  getNextHop (stage: PipelineStage): Hop | undefined {
    const next = this.stages[this.getIndex(stage) + 1]?.endpoint
    return next === undefined ? undefined : { endpoint: next.name, address: next.address }
  }

  /** @returns whether the stage puts out tokens */
  isLast (stage: PipelineStage): boolean {
    return stage === this.stages.at(-1)
  }

  /** @returns whether every stage has answered */
  hasAllAnswers (): boolean {
    return this.stages.every((stage) => stage.isAnswered)
  }

  /** @returns stages that have not answered */
  listSilent (): PipelineStage[] {
    return this.stages.filter((stage) => !stage.isAnswered)
  }

  /** @returns the latest status of every stage, once all have answered */
  listStatuses (): StatusFrame[] {
    return this.stages.map((stage) => stage.status as StatusFrame)
  }

  /**
   * Puts other endpoints in place of lost ones.
   *
   * @param lost - stages to replace
   * @param endpoints - their replacements, in the same order
   * @param attempt - attempt that begins with them
   * @returns the new stages, and those that stay
   */
  replace (
    lost: readonly PipelineStage[],
    endpoints: readonly StageEndpoint[],
    attempt: number
  ): { fresh: PipelineStage[], survivors: PipelineStage[] } {
    const fresh = endpoints.map((endpoint) => createStage(endpoint, attempt))
    const survivors = this.stages.filter((stage) => !lost.includes(stage))
    this.stages = this.stages.map((stage) => fresh[lost.indexOf(stage)] ?? stage)
    return { fresh, survivors }
  }
}
