import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createError, ErrorKind, HybridClock, Journal, ManualClock } from '@clementineloft/kernel'
import { ModelEngine } from '../lib/model-engine.js'
import type { StageOutput } from '../lib/stage-session.js'
import { EngineWatch } from '../lib/engine-watch.js'

class CheckedEngine extends ModelEngine {
  isHealthy = false

  override async encode (): Promise<Uint8Array[]> { return [] }

  override async runStep (): Promise<StageOutput[]> { return [] }

  override endSession (): void {}

  override async check (): Promise<void> {
    if (!this.isHealthy) throw createError(ErrorKind.deadline, 'no answer')
  }
}

test('an engine is down from a fault until it answers a check, and both are told once', async () => {
  const clock = new ManualClock()
  const journal = new Journal('i', new HybridClock(clock), 10)
  const engine = new CheckedEngine()
  const watch = new EngineWatch('e', engine, clock, journal)
  watch.noteError(createError(ErrorKind.badRequest, 'the step makes no sense'))
  assert.equal(watch.isDown(), false, 'a refusal is an answer')
  watch.noteError(createError(ErrorKind.deadline, 'late'))
  watch.noteError(createError(ErrorKind.endpointFailed, 'reset'))
  await clock.advanceGradually(2000, 100)
  assert.equal(watch.isDown(), true)
  engine.isHealthy = true
  await clock.advanceGradually(1000, 100)
  assert.equal(watch.isDown(), false)
  assert.deepEqual(journal.list().map((event) => event.name), ['engine-down', 'engine-up'])
})
