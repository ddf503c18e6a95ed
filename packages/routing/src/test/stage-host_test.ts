import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createError, ErrorKind, HybridClock, Journal, ManualClock, Metrics, Outcome } from '@clementineloft/kernel'
import { exactFairness, ModelEngine, StageHost, StageTransport } from '@clementineloft/routing'
import type { Frame, ModelLayers, OpenFrame, StageOutput } from '@clementineloft/routing'

class FaultyEngine extends ModelEngine {
  error: Error | undefined
  isHealthy = true

  override async encode (): Promise<Uint8Array[]> { return [new Uint8Array(1)] }

  override async check (): Promise<void> {
    if (!this.isHealthy) throw createError(ErrorKind.deadline, 'no answer')
  }

  override endSession (): void {}

  override async runStep (): Promise<StageOutput[]> {
    if (this.error !== undefined) throw this.error
    return [new Uint8Array(1)]
  }
}

class RecordingTransport extends StageTransport {
  readonly frames: Frame[] = []
  readonly crashes: string[] = []

  override sendToEntry (_: string, frame: Frame): void { this.frames.push(frame) }

  override sendToStage (): void {}

  override async reportCrash (fingerprints: readonly string[]): Promise<void> { this.crashes.push(...fingerprints) }
}

const createHost = (loaded?: ModelLayers) => {
  const clock = new ManualClock()
  const engine = new FaultyEngine()
  const transport = new RecordingTransport()
  const context = {
    endpoint: 'e',
    clock,
    journal: new Journal('e', new HybridClock(clock), 100),
    metrics: new Metrics(),
    getWeight: () => 1,
    getFreeCapacityFactor: () => 10,
    getCapacity: () => 10,
    hasLayers: (layers: ModelLayers) => loaded === undefined || loaded.firstLayer === layers.firstLayer,
    isSuspect: () => false,
    isQuarantined: () => false
  }
  const { journal } = context
  const options = { maxBatch: 4, maxChunk: 4, stepTimeoutMs: 1000, fairness: exactFairness, maxSessions: 10, maxLogBytes: 1000 }
  return { clock, engine, transport, journal, host: new StageHost(context, engine, transport, options) }
}

const createOpen = (request: string, attempt = 1, deadlineMs = 0): OpenFrame => ({
  request,
  attempt,
  stage: 1,
  team: 't',
  model: 'm',
  firstLayer: 0,
  lastLayer: 1,
  next: null,
  prompt: '',
  fingerprint: request,
  deadlineMs,
  isHeld: false,
  isSuspect: false
})

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn++) await new Promise((resolve) => { setImmediate(resolve) })
}

test('after a step times out, new requests are refused until a health check succeeds, and no crash is reported', async () => {
  const { clock, engine, transport, host } = createHost()
  host.handleFrame('c', { open: createOpen('first') })
  await settle()
  engine.error = createError(ErrorKind.deadline, 'no answer', { outcome: Outcome.unknown })
  engine.isHealthy = false
  host.handleFrame('c', { step: { request: 'first', attempt: 1, stage: 1, position: 0, rows: [new Uint8Array(1)] } })
  await settle()
  assert.equal(transport.frames.at(-1)?.failed?.kind, ErrorKind.deadline)
  assert.deepEqual(transport.crashes, [])
  host.handleFrame('c', { open: createOpen('second') })
  await settle()
  assert.equal(transport.frames.at(-1)?.refused?.kind, ErrorKind.noCapacity)
  engine.isHealthy = true
  await clock.advanceGradually(1000, 100)
  host.handleFrame('c', { open: createOpen('third') })
  await settle()
  assert.notEqual(transport.frames.at(-1)?.status, undefined)
})

test('an open frame that arrives after its attempt was closed is refused, and a newer attempt is accepted', async () => {
  const { transport, host } = createHost()
  host.handleFrame('c', { close: { request: 'r', attempt: 2 } })
  host.handleFrame('c', { open: createOpen('r', 2) })
  await settle()
  assert.equal(transport.frames.at(-1)?.refused?.kind, ErrorKind.superseded)
  host.handleFrame('c', { open: createOpen('r', 3) })
  await settle()
  assert.notEqual(transport.frames.at(-1)?.status, undefined)
})

test('a request for layers that the engine has not loaded is refused on open, and the journal records the reason', async () => {
  const { transport, journal, host } = createHost({ model: 'm', firstLayer: 4, lastLayer: 7 })
  host.handleFrame('c', { open: createOpen('r') })
  await settle()
  assert.match(transport.frames.at(-1)?.refused?.message ?? '', /does not hold layers 0-1/)
  const event = journal.list().at(-1)
  assert.deepEqual([event?.name, event?.request, event?.data?.['kind']], ['stage-refused', 'r', ErrorKind.noCapacity])
  assert.match(event?.detail ?? '', /does not hold layers 0-1/)
})

test('a session is closed at its deadline if the entry sends nothing more', async () => {
  const { clock, host } = createHost()
  host.handleFrame('c', { open: createOpen('r', 1, 5000) })
  await settle()
  assert.equal(host.countSessions(), 1)
  clock.advance(5000)
  assert.equal(host.countSessions(), 0)
})
