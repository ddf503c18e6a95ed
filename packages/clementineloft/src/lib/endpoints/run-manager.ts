/**
 * Manages all pipeline runs of one entry. The runs share one pool of links.
 */
import { ErrorKind } from '@clementineloft/kernel'
import { getFrameRequest, LoadTable, PipelinePicker, PipelineRun, StagePort, StageSource } from '@clementineloft/routing'
import type { Frame, ModelGraph, RetryBudget, RunListener, RunOptions, RunRequest, StageEndpoint } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import type { EndpointDirectory } from './endpoint-directory.js'
import { LinkListener, LinkPool } from './link-pool.js'
import { createRetryBudget } from './retry-limits.js'
import type { ProcessRuntime } from '../peers/process-runtime.js'
import type { ProcessContext } from '../peers/process-context.js'

/** Kinds of failures after which an endpoint receives no new requests during its cooldown. */
const avoidedFailureKinds: ReadonlySet<string> = new Set([ErrorKind.noCapacity, ErrorKind.endpointFailed, ErrorKind.deadline])

/** Picks endpoints for the runs of one model. */
class GraphSource extends StageSource {
  constructor (
    private readonly findGraph: () => ModelGraph | undefined,
    private readonly picker: PipelinePicker,
    private readonly directory: EndpointDirectory
  ) {
    super()
  }

  override pick (excluded: ReadonlySet<string>): StageEndpoint[] | undefined {
    return this.pickPreferred(excluded, (graph, isUsable) => this.picker.pick(graph, isUsable))
  }

  override pickReplacement (replaced: StageEndpoint, excluded: ReadonlySet<string>): StageEndpoint | undefined {
    return this.pickPreferred(excluded, (graph, isUsable) => this.picker.pickReplacement(graph, replaced, isUsable))
  }

  /**
   * Picks among the endpoints of this entry's subset that have not failed recently. If these do not cover the pipeline,
   * picks among all endpoints that have not failed recently, then among all serving endpoints.
   */
  private pickPreferred<T> (
    excluded: ReadonlySet<string>,
    pick: (graph: ModelGraph, isUsable: (name: string) => boolean) => T | undefined
  ): T | undefined {
    const graph = this.findGraph()
    if (graph === undefined) return undefined
    const isServing = (name: string): boolean => !excluded.has(name) && this.directory.isServing(name)
    const isHealthy = (name: string): boolean => isServing(name) && !this.directory.isAvoided(name)
    return pick(graph, (name) => isHealthy(name) && this.directory.isInSubset(name)) ??
      pick(graph, isHealthy) ??
      pick(graph, isServing)
  }
}

/** Sends frames over the link pool and counts the sessions that they open and close at each endpoint. */
class LinkPoolPort extends StagePort {
  constructor (
    private readonly pool: LinkPool,
    private readonly loads: LoadTable
  ) {
    super()
  }

  override send (endpoint: StageEndpoint, frame: Frame): void {
    if (frame.open != null) this.loads.recordStart(endpoint.name)
    if (frame.close != null) this.loads.recordEnd(endpoint.name)
    this.pool.send(endpoint.name, endpoint.address, frame)
  }
}

/** Forwards link events to the run manager. */
class RunLinkListener extends LinkListener {
  constructor (private readonly manager: RunManager) {
    super()
  }

  override handleFrame (endpoint: string, frame: Frame): void {
    this.manager.handleFrame(endpoint, frame)
  }

  override handleHeader (endpoint: string, header: wire.IHeader): void {
    this.manager.handleHeader(endpoint, header)
  }

  override handleLost (endpoint: string, cause: string): void {
    this.manager.handleLost(endpoint, cause)
  }
}

/** Starts runs and dispatches received frames to them. */
export class RunManager {
  private readonly runs = new Map<string, PipelineRun>()
  private readonly loads = new LoadTable()
  private readonly retryBudget: RetryBudget
  private readonly pool: LinkPool
  private readonly picker: PipelinePicker
  private readonly context: ProcessContext

  constructor (
    runtime: ProcessRuntime,
    private readonly directory: EndpointDirectory,
    private readonly options: RunOptions
  ) {
    this.context = runtime.context
    this.pool = new LinkPool(runtime.context, runtime.channelCredentials, new RunLinkListener(this))
    this.retryBudget = createRetryBudget(runtime.context.clock)
    this.picker = new PipelinePicker(this.loads, runtime.context.random)
    runtime.context.metrics.registerGauge('runs_in_flight', () => this.runs.size)
    runtime.context.metrics.registerGauge('links_open', () => this.pool.countLinks())
  }

  /** @returns number of runs in flight */
  countRuns (): number {
    return this.runs.size
  }

  /**
   * Starts a run.
   *
   * @param request - the request to run
   * @param createListener - creates the run's listener, which must call the given function when the run has ended
   */
  start (request: RunRequest, createListener: (handleEnd: () => void) => RunListener): PipelineRun {
    const handleEnd = (): void => { this.runs.delete(request.request) }
    const source = new GraphSource(() => this.directory.findGraph(request.model), this.picker, this.directory)
    const port = new LinkPoolPort(this.pool, this.loads)
    const run = new PipelineRun(request, source, port, createListener(handleEnd), this.context.clock, this.options, this.retryBudget)
    this.runs.set(request.request, run)
    run.start()
    return run
  }

  /**
   * Cancels a run whose caller has disconnected.
   *
   * @param request - identity of the request
   */
  cancel (request: string): void {
    this.runs.get(request)?.cancel()
    this.runs.delete(request)
  }

  /** Handles a frame from a sidecar: records failed endpoints and passes the frame to its run. */
  handleFrame (endpoint: string, frame: Frame): void {
    const { failed, refused } = frame
    if (failed != null && avoidedFailureKinds.has(failed.kind)) this.directory.avoid(failed.culprit)
    if (refused?.kind === ErrorKind.noCapacity) this.directory.avoid(endpoint)
    this.runs.get(getFrameRequest(frame))?.handleFrame(endpoint, frame)
  }

  /** Records the load that the header of each message from a sidecar reports. */
  handleHeader (endpoint: string, header: wire.IHeader): void {
    this.loads.recordReport(endpoint, header.load ?? 0)
  }

  /** Avoids an endpoint whose link is lost and has every run that uses it replace it. */
  handleLost (endpoint: string, cause: string): void {
    this.directory.avoid(endpoint)
    this.context.metrics.count('links_lost_total')
    this.context.journal.record({ name: 'link-lost', endpoint, detail: cause })
    this.context.log.warn({ event: 'link-lost', endpoint, cause })
    for (const run of [...this.runs.values()]) run.handleLost(endpoint, cause)
  }

  /** Closes the links and drops the loads of endpoints that no longer exist. */
  retainEndpoints (): void {
    const names = this.directory.listNames()
    this.pool.retain(names)
    this.loads.retain(names)
  }

  /** Closes all links. */
  close (): void {
    this.pool.close()
  }
}
