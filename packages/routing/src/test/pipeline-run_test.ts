import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ErrorKind, getErrorKind, getErrorOutcome, ManualClock, Outcome } from '@clementineloft/kernel'
import { PipelineRun, RetryBudget, RunListener, StagePort, StageSource } from '@clementineloft/routing'
import type { Frame, StageEndpoint, Token } from '@clementineloft/routing'

const createEndpoint = (name: string): StageEndpoint =>
  ({ name, address: name, dataCentre: 'd', model: 'm', firstLayer: 0, lastLayer: 0, tokensPerSecond: 1 })

const copies = [createEndpoint('a'), createEndpoint('b')]

class FakeSource extends StageSource {
  override pick (excluded: ReadonlySet<string>): StageEndpoint[] | undefined {
    const endpoint = copies.find((copy) => !excluded.has(copy.name))
    return endpoint === undefined ? undefined : [endpoint]
  }

  override pickReplacement (_: StageEndpoint, excluded: ReadonlySet<string>): StageEndpoint | undefined {
    return this.pick(excluded)?.[0]
  }
}

class FakePort extends StagePort {
  readonly opened: string[] = []
  readonly positions: number[] = []
  attempt = 0

  override send (endpoint: StageEndpoint, frame: Frame): void {
    if (frame.step != null) this.positions.push(frame.step.position)
    if (frame.open == null) return
    this.opened.push(endpoint.name)
    this.attempt = frame.open.attempt
  }
}

class RecordingListener extends RunListener {
  error: unknown
  readonly crashes: string[] = []

  override handleToken (_: Token): void {}

  override handleDone (): void {}

  override handleFailed (error: Error): void { this.error = error }

  override handleStagesLost (): void {}

  override handleCrash (endpoint: string): void { this.crashes.push(endpoint) }
}

const createRun = (retries = 100, deadlineMs = 0) => {
  const clock = new ManualClock()
  const port = new FakePort()
  const recorder = new RecordingListener()
  const request = { request: 'r', team: 't', model: 'm', prompt: 'p', fingerprint: 'f', isSuspect: false, maxTokens: 5, deadlineMs }
  const options = {
    openTimeoutMs: 300, stallMs: 300, probeTimeoutMs: 200, maxReplacements: 12, restartPauseMs: 500, maxSilenceMs: 2000, maxCrashes: 2
  }
  const run = new PipelineRun(request, new FakeSource(), port, recorder, clock, options, new RetryBudget(0, 0, retries, clock))
  run.start()
  return { run, clock, port, recorder }
}

const refuse = (port: FakePort, kind: ErrorKind): Frame =>
  ({ refused: { request: 'r', attempt: port.attempt, stage: 0, kind, message: 'refused' } })

test('a previously lost endpoint is reused when no other endpoint is available', () => {
  const { run, port, recorder } = createRun()
  for (const name of ['a', 'b', 'a']) run.handleLost(name, 'link lost')
  assert.deepEqual(port.opened, ['a', 'b', 'a', 'b'])
  assert.equal(recorder.error, undefined)
})

test('overload refusals are retried within the retry budget, then the caller gets "not run"', () => {
  const { run, port, recorder } = createRun(1)
  run.handleFrame('a', refuse(port, ErrorKind.overloaded))
  run.handleFrame('b', refuse(port, ErrorKind.overloaded))
  assert.equal(getErrorKind(recorder.error), ErrorKind.overloaded)
  assert.equal(getErrorOutcome(recorder.error), Outcome.notRun)
})

test('refusals by endpoints that are down or leaving do not consume the retry budget', () => {
  const { run, port, recorder } = createRun(0)
  run.handleFrame('a', refuse(port, ErrorKind.noCapacity))
  assert.deepEqual(port.opened, ['a', 'b'])
  assert.equal(recorder.error, undefined)
})

test('a request that crashes two endpoints is quarantined and not sent to a third', () => {
  const { run, port, recorder } = createRun()
  for (const name of ['a', 'b']) {
    const failed = { request: 'r', attempt: port.attempt, stage: 0, kind: ErrorKind.endpointFailed, message: 'crash', culprit: name }
    run.handleFrame(name, { failed })
  }
  assert.deepEqual(recorder.crashes, ['a', 'b'])
  assert.equal(getErrorKind(recorder.error), ErrorKind.quarantined)
  assert.deepEqual(port.opened, ['a', 'b'])
})

test('a run whose stages never answer fails at its deadline', () => {
  const { clock, recorder } = createRun(100, 1000)
  clock.advance(1000)
  assert.equal(getErrorKind(recorder.error), ErrorKind.deadline)
})

test('pausing for a slow reader holds back the next position, and resuming feeds it', () => {
  const { run, port } = createRun()
  const status = { request: 'r', attempt: 1, stage: 0, acceptedTo: 0, completedTo: 0, loggedFrom: 0, promptRows: [new Uint8Array(1)] }
  run.handleFrame('a', { status })
  run.pause()
  const token = { row: new Uint8Array(1), text: 't', isLast: false }
  run.handleFrame('a', { tokens: { request: 'r', attempt: 1, position: 0, tokens: [token] } })
  assert.deepEqual(port.positions, [0])
  run.resume()
  assert.deepEqual(port.positions, [0, 1])
})

test('a run that keeps generating tokens does not fail, however often its stages are lost', () => {
  const { run, port, recorder } = createRun()
  const rows = [new Uint8Array(1)]
  for (let turn = 0; turn < 4; turn++) {
    for (let loss = 0; loss < 10; loss++) run.handleLost(port.opened.at(-1) as string, 'link lost')
    const status = { request: 'r', attempt: port.attempt, stage: 0, acceptedTo: 0, completedTo: 0, loggedFrom: 0, promptRows: rows }
    run.handleFrame(port.opened.at(-1) as string, { status })
    const token = { row: new Uint8Array(1), text: 't', isLast: false }
    run.handleFrame(port.opened.at(-1) as string, { tokens: { request: 'r', attempt: port.attempt, position: turn, tokens: [token] } })
  }
  assert.equal(recorder.error, undefined)
})

const loseStages = (run: PipelineRun, port: FakePort, losses: number): void => {
  for (let loss = 0; loss < losses; loss++) run.handleLost(port.opened.at(-1) as string, 'link lost')
}

test('a run that loses stages faster than they recover restarts after a pause', () => {
  const { run, clock, port, recorder } = createRun()
  loseStages(run, port, 13)
  const opened = port.opened.length
  assert.deepEqual(run.listEndpoints(), [])
  clock.advance(499)
  assert.equal(port.opened.length, opened)
  clock.advance(1)
  assert.equal(port.opened.length, opened + 1)
  assert.equal(recorder.error, undefined)
})

test('a run that loses stages and has had no token for the maximum time fails immediately', () => {
  const { run, clock, port, recorder } = createRun()
  for (let restart = 0; restart < 4; restart++) {
    loseStages(run, port, 13)
    assert.equal(recorder.error, undefined)
    clock.advance(500)
  }
  loseStages(run, port, 13)
  assert.match(String(recorder.error), /no token for 2000 ms/)
  assert.equal(getErrorOutcome(recorder.error), Outcome.notRun)
})

test('a token resets the time limit of a run that loses stages', () => {
  const { run, clock, port, recorder } = createRun()
  for (let restart = 0; restart < 3; restart++) {
    loseStages(run, port, 13)
    clock.advance(500)
  }
  const endpoint = port.opened.at(-1) as string
  const rows = [new Uint8Array(1)]
  const status = { request: 'r', attempt: port.attempt, stage: 0, acceptedTo: 0, completedTo: 0, loggedFrom: 0, promptRows: rows }
  run.handleFrame(endpoint, { status })
  const token = { row: new Uint8Array(1), text: 't', isLast: false }
  run.handleFrame(endpoint, { tokens: { request: 'r', attempt: port.attempt, position: 0, tokens: [token] } })
  for (let restart = 0; restart < 3; restart++) {
    loseStages(run, port, 13)
    clock.advance(500)
  }
  assert.equal(recorder.error, undefined)
})

test('the deadline of the request ends a run that is paused after lost stages', () => {
  const { run, clock, port, recorder } = createRun(100, 300)
  loseStages(run, port, 13)
  clock.advance(300)
  assert.equal(getErrorKind(recorder.error), ErrorKind.deadline)
  clock.advance(1000)
  assert.equal(run.isEnded(), true)
})
