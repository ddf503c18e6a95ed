/**
 * A fluid simulation of engines with continuous batching: each endpoint and link has a capacity in tokens per second that
 * is shared among the requests that pass through it.
 */
import { LoadTable } from '@clementineloft/routing'
import type { ModelGraph, StageEndpoint } from '@clementineloft/routing'
import { SeededRandom } from '@clementineloft/kernel'
import type { PickPolicy } from './pick-policies.js'

const stepSeconds = 0.05
const rateSharingRounds = 4
const tokenIntervalSeconds = 0.038
const maxTokensPerSecond = 100
const maxAttempts = 3

/** Parameters of a simulation. */
export interface FluidPipelineOptions {
  graph: ModelGraph
  /** @returns capacity between two data centres in tokens per second */
  linkCapacity: (from: string, to: string) => number
  entries: number
  createPolicy: (random: SeededRandom, loads: LoadTable) => PickPolicy
  /** Offered load in tokens per second. */
  offeredTokensPerSecond: number
  meanTokens: number
  /** Age of load reports in seconds. */
  reportLagSeconds: number
  seconds: number
  seed: number
  /** @returns whether an endpoint is up at a time, in seconds from the start; all are always up if absent */
  isUp?: (name: string, seconds: number) => boolean
}

/** Result of a simulation. */
export interface FluidResult {
  /** Tokens generated per second. */
  throughput: number
  /** 95th percentile of the time between tokens, in milliseconds. */
  intervalP95Ms: number
  refusedShare: number
}

interface Flow {
  entry: number
  stages: StageEndpoint[]
  remainingTokens: number
  rate: number
  resources: string[]
}

/** Simulates requests over shared endpoints and links in discrete time steps. */
export class FluidPipelines {
  private readonly random: SeededRandom
  private readonly loads: LoadTable[]
  private readonly policies: PickPolicy[]
  private readonly capacity = new Map<string, number>()
  private readonly held = new Map<string, number>()
  private readonly history: Array<Map<string, number>> = []
  private flows: Flow[] = []
  private now = 0

  constructor (private readonly options: FluidPipelineOptions) {
    this.random = new SeededRandom(options.seed)
    this.loads = Array.from({ length: options.entries }, () => new LoadTable())
    this.policies = this.loads.map((loads, index) => options.createPolicy(new SeededRandom(options.seed + index + 1), loads))
    for (const endpoint of options.graph.endpoints) this.capacity.set(endpoint.name, endpoint.tokensPerSecond)
  }

  /** Runs the simulation. The first third of the time is warm-up and is not measured. */
  run (): FluidResult {
    const { seconds, offeredTokensPerSecond, meanTokens } = this.options
    const intervals: number[] = []
    let generated = 0
    let arrived = 0
    let refused = 0
    let dueRequests = 0
    const warmUp = seconds / 3
    for (this.now = 0; this.now < seconds; this.now += stepSeconds) {
      const isMeasured = this.now >= warmUp
      this.rerouteFailed()
      for (dueRequests += offeredTokensPerSecond / meanTokens * stepSeconds; dueRequests >= 1; dueRequests--) {
        const isAdmitted = this.acceptRequest()
        if (isMeasured) arrived++
        if (isMeasured && !isAdmitted) refused++
      }
      this.computeRates()
      for (const flow of this.flows) {
        const tokens = Math.min(flow.remainingTokens, flow.rate * stepSeconds)
        flow.remainingTokens -= tokens
        if (!isMeasured) continue
        generated += tokens
        if (this.random.next() < 0.05) intervals.push(1000 / flow.rate)
      }
      this.endFinished()
      this.history.push(new Map(this.held))
    }
    intervals.sort((a, b) => a - b)
    return {
      throughput: generated / (seconds - warmUp),
      intervalP95Ms: intervals[Math.floor(intervals.length * 0.95)] ?? 0,
      refusedShare: refused / Math.max(1, arrived)
    }
  }

  private isUp (name: string): boolean {
    return this.options.isUp?.(name, this.now) ?? true
  }

  private getHeld (name: string): number {
    return this.held.get(name) ?? 0
  }

  private hasCapacity (endpoint: StageEndpoint): boolean {
    return this.getHeld(endpoint.name) + 1 <= endpoint.tokensPerSecond * tokenIntervalSeconds
  }

  private acceptRequest (): boolean {
    const { graph, meanTokens } = this.options
    const entry = this.random.pickInteger(this.options.entries)
    const excluded = new Set<string>()
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const stages = this.policies[entry]?.pick(graph, (name) => !excluded.has(name) && this.isUp(name))
      if (stages === undefined) return false
      const fullStages = stages.filter((stage) => !this.hasCapacity(stage))
      for (const stage of fullStages) {
        excluded.add(stage.name)
        this.report(entry, stage.name, this.getHeld(stage.name))
      }
      if (fullStages.length > 0) continue
      const remainingTokens = Math.max(1, -Math.log(1 - this.random.next()) * meanTokens)
      this.flows.push(this.start({ entry, stages, remainingTokens, rate: 0, resources: [] }))
      return true
    }
    return false
  }

  private start (flow: Flow): Flow {
    for (const stage of flow.stages) {
      this.held.set(stage.name, this.getHeld(stage.name) + 1)
      this.loads[flow.entry]?.recordStart(stage.name)
    }
    flow.resources = flow.stages.map((stage) => stage.name)
    for (const [index, stage] of flow.stages.slice(1).entries()) {
      const from = (flow.stages[index] as StageEndpoint).dataCentre
      if (from === stage.dataCentre) continue
      const link = `${from}>${stage.dataCentre}`
      this.capacity.set(link, this.options.linkCapacity(from, stage.dataCentre))
      flow.resources.push(link)
    }
    return flow
  }

  private end (flow: Flow): void {
    for (const stage of flow.stages) {
      this.held.set(stage.name, this.getHeld(stage.name) - 1)
      this.loads[flow.entry]?.recordEnd(stage.name)
      const laggedLoads = this.history.at(-Math.round(this.options.reportLagSeconds / stepSeconds))
      if (laggedLoads !== undefined) this.report(flow.entry, stage.name, laggedLoads.get(stage.name) ?? 0)
    }
  }

  private report (entry: number, endpoint: string, load: number): void {
    this.loads[entry]?.recordReport(endpoint, load)
  }

  private endFinished (): void {
    const finished = this.flows.filter((flow) => flow.remainingTokens <= 0)
    for (const flow of finished) this.end(flow)
    if (finished.length > 0) this.flows = this.flows.filter((flow) => flow.remainingTokens > 0)
  }

  /** Moves requests away from endpoints that are down. A request that finds no free capacity overloads its new endpoints. */
  private rerouteFailed (): void {
    if (this.options.isUp === undefined) return
    for (const flow of this.flows) {
      if (flow.stages.every((stage) => this.isUp(stage.name))) continue
      this.end(flow)
      flow.stages = this.pickReplacement(flow) ?? flow.stages
      this.start(flow)
    }
  }

  private pickReplacement (flow: Flow): StageEndpoint[] | undefined {
    const policy = this.policies[flow.entry] as PickPolicy
    const excluded = new Set<string>()
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const stages = policy.pick(this.options.graph, (name) => !excluded.has(name) && this.isUp(name))
      const fullStages = stages?.filter((stage) => !this.hasCapacity(stage)) ?? []
      if (stages !== undefined && fullStages.length === 0) return stages
      for (const stage of fullStages) excluded.add(stage.name)
    }
    return policy.pick(this.options.graph, (name) => this.isUp(name))
  }

  /** Approximates fair sharing: scales the rates in a few rounds so that the bottleneck of each request is fully used. */
  private computeRates (): void {
    for (const flow of this.flows) flow.rate = maxTokensPerSecond
    for (let round = 0; round < rateSharingRounds; round++) {
      const used = new Map<string, number>()
      for (const flow of this.flows) {
        for (const resource of flow.resources) used.set(resource, (used.get(resource) ?? 0) + flow.rate)
      }
      for (const flow of this.flows) {
        let scale = Infinity
        for (const resource of flow.resources) {
          scale = Math.min(scale, (this.capacity.get(resource) as number) / (used.get(resource) as number))
        }
        flow.rate = Math.min(maxTokensPerSecond, flow.rate * scale)
      }
    }
  }
}
