/**
 * Engine orders when a lease holder is paused between its lease check and its order, and sends the order after a
 * successor has taken over. The engine must end with the layers of the successor, whether it rejects old fencing tokens
 * or ignores them.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FencedLease, MemoryStore, StoreFault } from '@clementineloft/coordination'
import { createError, ErrorKind, HybridClock, Journal, ManualClock } from '@clementineloft/kernel'
import { EngineReconciler, LoadableEngine } from '@clementineloft/routing'
import type { ModelLayers } from '@clementineloft/routing'

const lowerLayers: ModelLayers = { model: 'm', firstLayer: 0, lastLayer: 3 }
const upperLayers: ModelLayers = { model: 'm', firstLayer: 4, lastLayer: 7 }

class FakeEngine extends LoadableEngine {
  loaded: ModelLayers | undefined
  orders = 0
  private maxFence = 0

  constructor (private readonly rejectsOldFences: boolean) { super() }

  override async readLoaded (): Promise<ModelLayers | undefined> {
    return this.loaded
  }

  override async load (target: ModelLayers, fence: number): Promise<void> {
    if (this.rejectsOldFences && fence < this.maxFence) throw createError(ErrorKind.superseded, 'old fencing token')
    this.maxFence = Math.max(this.maxFence, fence)
    this.orders++
    this.loaded = target
  }
}

/** Connection of one process to the engine; holds orders back while the process is paused. */
class PausableEngineClient extends LoadableEngine {
  private pendingOrders: Array<() => void> = []
  isPaused = false

  constructor (private readonly engine: FakeEngine) { super() }

  override async readLoaded (): Promise<ModelLayers | undefined> {
    return await this.engine.readLoaded()
  }

  override async load (target: ModelLayers, fence: number): Promise<void> {
    if (this.isPaused) await new Promise<void>((resolve) => { this.pendingOrders.push(resolve) })
    await this.engine.load(target, fence)
  }

  resume (): void {
    this.isPaused = false
    this.pendingOrders.forEach((resolve) => { resolve() })
  }
}

const createHolder = (store: MemoryStore, clock: ManualClock, engine: LoadableEngine, incarnation: string, target: ModelLayers): EngineReconciler => {
  const lease = new FencedLease(store, 'leases/e', clock, incarnation)
  const journal = new Journal(incarnation, new HybridClock(clock), 100)
  return new EngineReconciler('e', engine, async () => await lease.confirm(), () => target, clock, journal)
}

for (const rejectsOldFences of [true, false]) {
  test(`a lease holder resumes between check and order; the engine ${rejectsOldFences ? 'rejects' : 'ignores'} old fencing tokens`, async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const engine = new FakeEngine(rejectsOldFences)
    const connection = new PausableEngineClient(engine)
    connection.isPaused = true
    const paused = createHolder(store, clock, connection, 'old', lowerLayers)
    const successor = createHolder(store, clock, engine, 'new', upperLayers)
    void paused.run()
    await clock.advanceGradually(100, 10)
    void successor.run()
    await clock.advanceGradually(3000, 100)
    assert.deepEqual(engine.loaded, upperLayers)
    connection.resume()
    await clock.advanceGradually(10_000, 100)
    assert.deepEqual(engine.loaded, upperLayers)
    assert.equal(paused.isReplaced(), true)
    assert.equal(successor.isReplaced(), false)
    const orders = engine.orders
    await clock.advanceGradually(20_000, 100)
    assert.equal(engine.orders, orders)
  })
}

test('no order is sent while the store is unavailable, and it is sent after the store returns', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const engine = new FakeEngine(true)
  store.fault = StoreFault.down
  void createHolder(store, clock, engine, 'only', lowerLayers).run()
  await clock.advanceGradually(5000, 100)
  assert.equal(engine.orders, 0)
  store.fault = StoreFault.none
  await clock.advanceGradually(3000, 100)
  assert.deepEqual(engine.loaded, lowerLayers)
})
