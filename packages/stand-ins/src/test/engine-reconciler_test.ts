/**
 * Orders by a holder that was paused and wakes, against engines that refuse old numbers and engines that ignore them.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FencedLease, MemoryStore, StoreFault } from '@clementineloft/coordination'
import { createError, ErrorKind, HybridClock, Journal, ManualClock } from '@clementineloft/kernel'
import { EngineReconciler, LoadableEngine } from '@clementineloft/routing'
import type { ModelLayers } from '@clementineloft/routing'

const low: ModelLayers = { model: 'm', firstLayer: 0, lastLayer: 3 }
const high: ModelLayers = { model: 'm', firstLayer: 4, lastLayer: 7 }

class FakeEngine extends LoadableEngine {
  loaded: ModelLayers | undefined
  orders = 0
  private highestFence = 0

  constructor (private readonly refusesOld: boolean) { super() }

  override async readLoaded (): Promise<ModelLayers | undefined> {
    return this.loaded
  }

  override async load (target: ModelLayers, fence: number): Promise<void> {
    if (this.refusesOld && fence < this.highestFence) throw createError(ErrorKind.superseded, 'old fencing number')
    this.highestFence = Math.max(this.highestFence, fence)
    this.orders++
    this.loaded = target
  }
}

/** A process's connection to the engine, on which orders wait while the process is paused. */
class PausableConnection extends LoadableEngine {
  private release: Array<() => void> = []
  isPaused = false

  constructor (private readonly engine: FakeEngine) { super() }

  override async readLoaded (): Promise<ModelLayers | undefined> {
    return await this.engine.readLoaded()
  }

  override async load (target: ModelLayers, fence: number): Promise<void> {
    if (this.isPaused) await new Promise<void>((resolve) => { this.release.push(resolve) })
    await this.engine.load(target, fence)
  }

  resume (): void {
    this.isPaused = false
    this.release.forEach((resolve) => { resolve() })
  }
}

const createHolder = (store: MemoryStore, clock: ManualClock, engine: LoadableEngine, incarnation: string, target: ModelLayers): EngineReconciler => {
  const lease = new FencedLease(store, 'leases/e', clock, incarnation)
  const journal = new Journal(incarnation, new HybridClock(clock), 100)
  return new EngineReconciler('e', engine, async () => await lease.confirm(), () => target, clock, journal)
}

for (const refusesOld of [true, false]) {
  test(`a paused holder wakes between check and order; the engine ${refusesOld ? 'refuses' : 'ignores'} old numbers`, async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const engine = new FakeEngine(refusesOld)
    const connection = new PausableConnection(engine)
    connection.isPaused = true
    const paused = createHolder(store, clock, connection, 'old', low)
    const successor = createHolder(store, clock, engine, 'new', high)
    void paused.run()
    await clock.advanceGradually(100, 10)
    void successor.run()
    await clock.advanceGradually(3000, 100)
    assert.deepEqual(engine.loaded, high)
    connection.resume()
    await clock.advanceGradually(10_000, 100)
    assert.deepEqual(engine.loaded, high)
    assert.equal(paused.isReplaced(), true)
    assert.equal(successor.isReplaced(), false)
    const orders = engine.orders
    await clock.advanceGradually(20_000, 100)
    assert.equal(engine.orders, orders)
  })
}

test('without the store no order is given, and the order follows on its return', async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const engine = new FakeEngine(true)
  store.fault = StoreFault.down
  void createHolder(store, clock, engine, 'only', low).run()
  await clock.advanceGradually(5000, 100)
  assert.equal(engine.orders, 0)
  store.fault = StoreFault.none
  await clock.advanceGradually(3000, 100)
  assert.deepEqual(engine.loaded, low)
})
