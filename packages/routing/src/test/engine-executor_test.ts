import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createError, ErrorKind, ManualClock, Outcome } from '@clementineloft/kernel'
import { EngineExecutor, exactFairness, ModelEngine } from '@clementineloft/routing'
import type { EngineStep, StageOutput } from '@clementineloft/routing'

class FakeEngine extends ModelEngine {
  readonly batches: string[][] = []
  readonly running = new Map<string, (error?: Error) => void>()

  override async encode (): Promise<Uint8Array[]> { return [] }

  override async check (): Promise<void> {}

  override endSession (): void {}

  override runStep (step: EngineStep): Promise<StageOutput[]> {
    return new Promise((resolve, reject) => {
      this.running.set(`${step.session}@${step.position}`, (error) => {
        if (error === undefined) resolve(step.rows)
        else reject(error)
      })
      this.batches.push([...this.running.keys()])
    })
  }

  finish (name: string, error?: Error): void {
    this.running.get(name)?.(error)
    this.running.delete(name)
  }
}

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 10; turn++) await new Promise((resolve) => { setImmediate(resolve) })
}

const createStep = (session: string, rows = 1): EngineStep =>
  ({ session, model: 'm', firstLayer: 0, lastLayer: 0, isLastStage: false, position: 0, rows: Array.from({ length: rows }, () => new Uint8Array(1)) })

const createExecutor = (maxBatch: number, maxChunk: number) => {
  const engine = new FakeEngine()
  const clock = new ManualClock()
  const crashes: string[][] = []
  const executor = new EngineExecutor(engine, clock, { maxBatch, maxChunk, stepTimeoutMs: 1000, fairness: exactFairness }, () => 1, (fingerprints) => { crashes.push(fingerprints) })
  const run = (session: string, rows = 1, isSuspect = false): Promise<void> =>
    executor.run(createStep(session, rows), { team: session, fingerprint: session, isSuspect }, () => {})
  return { engine, clock, crashes, run }
}

test('a suspected request runs alone: it waits for running steps, and later steps wait for it', async () => {
  const { engine, run } = createExecutor(4, 10)
  const all = [run('a'), run('suspect', 1, true), run('b')]
  await settle()
  assert.deepEqual([...engine.running.keys()], ['a@0'])
  engine.finish('a@0')
  await settle()
  assert.deepEqual([...engine.running.keys()], ['suspect@0'])
  engine.finish('suspect@0')
  await settle()
  assert.deepEqual([...engine.running.keys()], ['b@0'])
  engine.finish('b@0')
  await Promise.all(all)
})

test('a crash reports all requests that were running in the engine and none that were queued', async () => {
  const { engine, crashes, run } = createExecutor(2, 10)
  const all = Promise.allSettled([run('a'), run('b'), run('waiting')])
  await settle()
  const crash = createError(ErrorKind.endpointFailed, 'connection broke', { outcome: Outcome.unknown })
  engine.finish('a@0', crash)
  engine.finish('b@0', crash)
  await settle()
  engine.finish('waiting@0')
  await all
  assert.deepEqual(crashes[0]?.toSorted(), ['a', 'b'])
  assert.ok(crashes.every((fingerprints) => !fingerprints.includes('waiting')))
})

test('a refused connection to the engine is not reported as a crash', async () => {
  const { engine, crashes, run } = createExecutor(2, 10)
  const all = Promise.allSettled([run('a')])
  await settle()
  engine.finish('a@0', createError(ErrorKind.endpointFailed, 'connection refused'))
  await all
  assert.deepEqual(crashes, [])
})

test('a long prompt runs in chunks, and steps of other teams run in between', async () => {
  const { engine, run } = createExecutor(1, 10)
  const all = [run('long', 30), run('short')]
  await settle()
  engine.finish('long@0')
  await settle()
  assert.deepEqual([...engine.running.keys()], ['short@0'])
  for (const name of ['short@0', 'long@10', 'long@20']) {
    engine.finish(name)
    await settle()
  }
  await Promise.all(all)
})

test('a step fails when it exceeds its time-out', async () => {
  const { clock, run } = createExecutor(1, 10)
  const failing = assert.rejects(run('a'), /did not answer within 1000 ms/)
  await settle()
  clock.advance(1001)
  await failing
})
