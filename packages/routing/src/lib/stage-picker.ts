/**
 * Picks the endpoints of one request, and remembers those that it has lost and those whose engine crashed while it ran.
 */
import type { StageEndpoint } from './model-graph.js'
import type { PipelineStage } from './pipeline.js'
import type { StageSource } from './run-ports.js'

/** Endpoints that one request may use. */
export class StagePicker {
  private excluded = new Set<string>()
  private readonly crashed = new Set<string>()

  constructor (private readonly source: StageSource) {}

  /** @returns number of endpoints whose engine crashed while it ran the request */
  countCrashed (): number {
    return this.crashed.size
  }

  /** Records that an engine crashed. @returns whether this is the first crash at the endpoint */
  recordCrash (endpoint: string): boolean {
    if (this.crashed.has(endpoint)) return false
    this.crashed.add(endpoint)
    return true
  }

  /** Avoids an endpoint that the request has lost. */
  avoid (endpoint: string): void {
    this.excluded.add(endpoint)
  }

  /** Allows lost endpoints again, since they may have recovered; those that crashed stay excluded. */
  clearAvoided (): void {
    this.excluded = new Set(this.crashed)
  }

  /**
   * @param current - endpoints of the present pipeline, which are preferred least
   * @returns endpoints for all layers, if possible without those that the request has lost
   */
  pick (current: readonly string[]): readonly StageEndpoint[] | undefined {
    const avoided = new Set([...this.excluded, ...current])
    return this.source.pick(avoided) ?? this.source.pick(this.excluded) ?? this.source.pick(this.crashed)
  }

  /**
   * Picks an endpoint that this run has not lost; if there is none, one that it lost earlier and that may have recovered.
   *
   * @param stage - stage to replace
   * @param lost - all stages that are replaced now
   */
  pickReplacement (stage: PipelineStage, lost: readonly PipelineStage[]): StageEndpoint | undefined {
    const knownUnavailable = new Set([...this.crashed, ...lost.map((lostStage) => lostStage.endpoint.name)])
    return this.source.pickReplacement(stage.endpoint, this.excluded) ??
      this.source.pickReplacement(stage.endpoint, knownUnavailable)
  }
}
