import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createError, ErrorKind, HybridClock, Journal, ManualClock } from '@clementineloft/kernel'
import { ModelEngine } from '../lib/model-engine.js'
import type { StageOutput } from '../lib/stage-session.js'
import { EngineHealthMonitor } from '../lib/engine-health-monitor.js'

class CheckedEngine extends ModelEngine {
  isHealthy = false

  override async encode (): Promise<Uint8Array[]> { return [] }

  override async runStep (): Promise<StageOutput[]> { return [] }

  override endSession (): void {}

  override async check (): Promise<void> {
    if (!this.isHealthy) throw createError(ErrorKind.deadline, 'no answer')
  }
}

test('an engine is down from an error until a health check succeeds, and each change is recorded once', async () => {
  const clock = new ManualClock()
  const journal = new Journal('i', new HybridClock(clock), 10)
  const engine = new CheckedEngine()
  const monitor = new EngineHealthMonitor('e', engine, clock, journal)
  monitor.recordError(createError(ErrorKind.badRequest, 'the step makes no sense'))
  assert.equal(monitor.isDown(), false, 'an engine that refuses a step is still healthy')
  monitor.recordError(createError(ErrorKind.deadline, 'late'))
  monitor.recordError(createError(ErrorKind.endpointFailed, 'reset'))
  await clock.advanceGradually(2000, 100)
  assert.equal(monitor.isDown(), true)
  engine.isHealthy = true
  await clock.advanceGradually(1000, 100)
  assert.equal(monitor.isDown(), false)
  assert.deepEqual(journal.list().map((event) => event.name), ['engine-down', 'engine-up'])
})
