/**
 * Guards against lost, duplicated or wrong tokens after failures: drives real pipeline runs and stage hosts over a
 * simulated network that delays and duplicates messages, while endpoints crash or are paused and resumed.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { HybridClock, Journal, ManualClock, Metrics, SeededRandom } from '@clementineloft/kernel'
import {
  exactFairness, LoadTable, ModelEngine, ModelGraph, PipelinePicker, PipelineRun, RetryBudget, RunListener, StageHost, StageTransport, StagePort, StageSource
} from '@clementineloft/routing'
import type { EngineStep, Frame, Hop, RunOptions, StageEndpoint, StageOutput, Token } from '@clementineloft/routing'

const seed = 20_261_204
const promptLength = 3
const maxTokens = 6
const layers = 3
const copies = 3
/**
 * With `maxSilenceMs` 0, a run that loses stages without progress fails instead of pausing and restarting: a restart
 * could hide a fault in the replacement of stages.
 */
const options: RunOptions = {
  openTimeoutMs: 300, stallMs: 300, probeTimeoutMs: 200, maxReplacements: 12, restartPauseMs: 500, maxSilenceMs: 0, maxCrashes: 2
}

const createRow = (value: number): Uint8Array => Uint8Array.of(value & 255, (value >> 8) & 255)

const readRow = (row: Uint8Array): number => (row[0] as number) + 256 * (row[1] as number)

const foldLayer = (layer: number, position: number, input: number, memory: number): number =>
  (input * 31 + layer * 7 + position * 13 + memory * 17 + 5) % 65_521

/** Computes a hash over all positions of a session, and records steps that skip or repeat a position. */
class FoldEngine extends ModelEngine {
  private readonly sessions = new Map<string, { next: number, memory: number }>()
  readonly violations: string[] = []

  override async encode (): Promise<Uint8Array[]> {
    return Array.from({ length: promptLength }, (_, index) => createRow(index + 1))
  }

  override async check (): Promise<void> {}

  override endSession (): void {}

  override async runStep (step: EngineStep): Promise<StageOutput[]> {
    const state = this.sessions.get(step.session) ?? { next: 0, memory: 0 }
    this.sessions.set(step.session, state)
    if (step.position !== state.next) this.violations.push(`${step.session} at ${step.position}, expected ${state.next}`)
    return step.rows.map((row, index) => {
      const output = foldLayer(step.firstLayer, step.position + index, readRow(row), state.memory)
      state.memory = (state.memory + output) % 65_521
      state.next++
      if (!step.isLastStage) return createRow(output)
      return { row: createRow(output), text: `${output} `, isLast: false }
    })
  }
}

const computeExpected = (): string => {
  const memories = [0, 0, 0]
  const rows = Array.from({ length: promptLength }, (_, index) => index + 1)
  let text = ''
  for (let position = 0; position < promptLength + maxTokens - 1; position++) {
    let value = rows[position] as number
    for (let layer = 0; layer < layers; layer++) {
      value = foldLayer(layer, position, value, memories[layer] as number)
      memories[layer] = ((memories[layer] as number) + value) % 65_521
    }
    if (position < promptLength - 1) continue
    rows.push(value)
    text += `${value} `
  }
  return text
}

type EndpointFault = 'none' | 'dead' | 'paused'

/** Sends the frames of one endpoint over the simulated network. */
class FakeOutlet extends StageTransport {
  constructor (
    private readonly network: FakeNetwork,
    private readonly endpoint: string
  ) {
    super()
  }

  override sendToEntry (_: string, frame: Frame): void {
    this.network.sendFrom(this.endpoint, () => { this.network.run?.handleFrame(this.endpoint, frame) })
  }

  override sendToStage (next: Hop, frame: Frame): void {
    const { network, endpoint } = this
    const deliver = (): void => { network.hosts.get(next.endpoint)?.handleFrame(endpoint, frame) }
    network.sendFrom(endpoint, () => { network.sendLater(next.endpoint, deliver, true) })
  }

  override async reportCrash (): Promise<void> {}
}

/** Simulated network between one run and its endpoints. */
class FakeNetwork extends StagePort {
  readonly faults = new Map<string, EndpointFault>()
  readonly hosts = new Map<string, StageHost>()
  readonly engines = new Map<string, FoldEngine>()
  private readonly undelivered = new Map<string, Array<() => void>>()
  run: PipelineRun | undefined

  constructor (
    readonly clock: ManualClock,
    private readonly random: SeededRandom,
    readonly endpoints: readonly StageEndpoint[]
  ) {
    super()
    for (const { name } of endpoints) this.addHost(name)
  }

  override send (endpoint: StageEndpoint, frame: Frame): void {
    this.sendLater(endpoint.name, () => { this.hosts.get(endpoint.name)?.handleFrame('entry', frame) }, frame.step != null)
  }

  kill (name: string): void {
    this.faults.set(name, 'dead')
    this.clock.schedule(20, () => {
      this.run?.handleLost(name, 'link lost')
      for (const [other, host] of this.hosts) if (other !== name) host.handleHopLost(name)
    })
  }

  pause (name: string): void {
    if (this.faults.get(name) !== 'dead') this.faults.set(name, 'paused')
  }

  resume (name: string): void {
    if (this.faults.get(name) !== 'paused') return
    this.faults.set(name, 'none')
    const held = this.undelivered.get(name) ?? []
    this.undelivered.set(name, [])
    for (const deliver of held) deliver()
  }

  private addHost (name: string): void {
    const engine = new FoldEngine()
    const outlet = new FakeOutlet(this, name)
    const { clock } = this
    const context = {
      endpoint: name,
      clock,
      journal: new Journal(name, new HybridClock(clock), 10),
      metrics: new Metrics(),
      getWeight: () => 1,
      getFreeCapacityFactor: () => 100,
      getCapacity: () => 10,
      hasLayers: () => true,
      isSuspect: () => false,
      isQuarantined: () => false
    }
    const bounds = { maxBatch: 4, maxChunk: 2, stepTimeoutMs: 1e6, fairness: exactFairness, maxSessions: 10, maxLogBytes: 14 }
    this.engines.set(name, engine)
    this.hosts.set(name, new StageHost(context, engine, outlet, bounds))
  }

  /** Delivers after a fixed delay, in sending order; some steps are delivered again after a further random delay. */
  sendLater (to: string, deliver: () => void, canDuplicate: boolean): void {
    const delayMs = 2
    this.clock.schedule(delayMs, () => { this.deliverTo(to, deliver) })
    if (canDuplicate && this.random.next() < 0.2) this.clock.schedule(delayMs + this.random.pickInteger(50), () => { this.deliverTo(to, deliver) })
  }

  private deliverTo (name: string, deliver: () => void): void {
    const fault = this.faults.get(name) ?? 'none'
    if (fault === 'none') deliver()
    if (fault === 'paused') this.undelivered.set(name, [...this.undelivered.get(name) ?? [], deliver])
  }

  sendFrom (name: string, deliver: () => void): void {
    const fault = this.faults.get(name) ?? 'none'
    if (fault === 'none') this.clock.schedule(2, deliver)
    if (fault === 'paused') this.undelivered.set(name, [...this.undelivered.get(name) ?? [], deliver])
  }
}

class GraphSource extends StageSource {
  constructor (private readonly graph: ModelGraph, private readonly picker: PipelinePicker) { super() }

  override pick (excluded: ReadonlySet<string>): StageEndpoint[] | undefined {
    return this.picker.pick(this.graph, (name) => !excluded.has(name))
  }

  override pickReplacement (replaced: StageEndpoint, excluded: ReadonlySet<string>): StageEndpoint | undefined {
    return this.picker.pickReplacement(this.graph, replaced, (name) => !excluded.has(name))
  }
}

class RecordingListener extends RunListener {
  text = ''
  error: Error | undefined
  isDone = false

  override handleToken (token: Token): void { this.text += token.text }

  override handleDone (): void { this.isDone = true }

  override handleFailed (error: Error): void { this.error = error }

  override handleStagesLost (): void {}

  override handleCrash (): void {}
}

const faultAction = fc.record({
  afterMs: fc.nat(60),
  type: fc.constantFrom('kill' as const, 'pause' as const, 'resume' as const),
  stage: fc.nat(layers - 1),
  copy: fc.nat(copies - 1)
})

test(`every answer is complete and correct, whichever stages crash or pause (seed ${seed})`, async () => {
  const expected = computeExpected()
  await fc.assert(fc.asyncProperty(fc.integer(), fc.array(faultAction, { maxLength: 6 }), async (networkSeed, faults) => {
    const clock = new ManualClock()
    const endpoints = Array.from({ length: layers * copies }, (_, index): StageEndpoint => {
      const layer = index % layers
      return { name: `s${layer}-${Math.floor(index / layers)}`, address: '', dataCentre: 'd', model: 'm', firstLayer: layer, lastLayer: layer, tokensPerSecond: 1 }
    })
    const random = new SeededRandom(networkSeed)
    const network = new FakeNetwork(clock, random, endpoints)
    const graph = new ModelGraph(layers, endpoints, () => Infinity)
    const listener = new RecordingListener()
    const request = { request: 'r', team: 't', model: 'm', prompt: 'p', fingerprint: 'f', isSuspect: false, maxTokens, deadlineMs: 0 }
    const source = new GraphSource(graph, new PipelinePicker(new LoadTable(), random))
    network.run = new PipelineRun(request, source, network, listener, clock, options, new RetryBudget(1, 1, 100, clock))
    network.run.start()
    for (const fault of faults) {
      await clock.advanceGradually(fault.afterMs, 1)
      const running = network.run.listEndpoints()[fault.stage]
      if (fault.type === 'resume') endpoints.forEach((endpoint) => { network.resume(endpoint.name) })
      else if (running !== undefined) network[fault.type](running)
    }
    await clock.advanceGradually(12_000, 5)
    const lossesPerStage = Array.from({ length: layers }, (_, layer) => faults.filter((fault) => fault.type !== 'resume' && fault.stage === layer).length)
    if (lossesPerStage.every((count) => count < copies)) assert.equal(listener.isDone, true, listener.error?.message)
    endpoints.forEach((endpoint) => { network.resume(endpoint.name) })
    await clock.advanceGradually(2000, 5)
    for (const engine of network.engines.values()) assert.deepEqual(engine.violations, [])
    assert.ok(listener.isDone !== (listener.error !== undefined), `expected the run to be either done or failed; text: "${listener.text}"`)
    assert.ok(expected.startsWith(listener.text), `"${listener.text}" is not a prefix of "${expected}"`)
    if (listener.isDone) assert.equal(listener.text, expected)
  }), { seed, numRuns: 150 })
})
