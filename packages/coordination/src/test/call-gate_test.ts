import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CallGate, CallRunner, ClaimRange, MemoryStore, StoreFault, TicketIssuer } from '@clementineloft/coordination'
import type { GuardedCall } from '@clementineloft/coordination'
import { createError, ErrorKind, getErrorKind, getErrorOutcome, ManualClock, Outcome } from '@clementineloft/kernel'

class CountingRunner extends CallRunner<GuardedCall, string> {
  runs = 0
  finish: Array<() => void> = []
  error: Error | undefined

  override async run (): Promise<string> {
    this.runs++
    if (this.error !== undefined) throw this.error
    await new Promise<void>((resolve) => { this.finish.push(resolve) })
    return `answer ${this.runs}`
  }
}

const createGate = (store = new MemoryStore(), incarnation = 'a') => {
  const clock = new ManualClock()
  const runner = new CountingRunner()
  const range = new ClaimRange<string>(store, 'claims/0', clock, { holder: incarnation, incarnation, retentionMs: 60_000, writeIntervalMs: 0 })
  const tickets = new TicketIssuer('worker', incarnation, clock, 60_000)
  return { clock, runner, tickets, gate: new CallGate('worker', runner, () => range, tickets, clock, 60_000) }
}

let requests = 0

const createCall = (key: string, fingerprint = 'f'): GuardedCall =>
  ({ request: `request-${++requests}`, scope: 'bookings/team', key, fingerprint, isIdempotent: false })

const flushPromises = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn++) await new Promise((resolve) => { setImmediate(resolve) })
}

test('a repeat waits for the running call and gets its answer', async () => {
  const { gate, runner } = createGate()
  const first = gate.handle(createCall('k'))
  await flushPromises()
  const repeat = gate.handle(createCall('k'))
  await flushPromises()
  runner.finish.forEach((finish) => { finish() })
  assert.deepEqual(await Promise.all([first, repeat]), ['answer 1', 'answer 1'])
  assert.equal(runner.runs, 1)
})

test('a key that was used for a different request is refused', async () => {
  const { gate, runner } = createGate()
  const first = gate.handle(createCall('k'))
  await flushPromises()
  await assert.rejects(gate.handle(createCall('k', 'other')), (error) => getErrorKind(error) === ErrorKind.keyReused)
  runner.finish.forEach((finish) => { finish() })
  await first
})

test('a call that was resolved before it arrived never starts', async () => {
  const { gate, runner } = createGate()
  const call = createCall('')
  await assert.rejects(gate.resolve(call.request, call.scope, call.key), (error) => getErrorOutcome(error) === Outcome.notRun)
  await assert.rejects(gate.handle(call), (error) => getErrorOutcome(error) === Outcome.notRun)
  assert.equal(runner.runs, 0)
})

test('a call that is resolved while its claim is being written does not start', async () => {
  const { gate, runner } = createGate()
  const call = createCall('k')
  const handled = gate.handle(call)
  handled.catch(() => {})
  await assert.rejects(gate.resolve(call.request, call.scope, call.key), (error) => getErrorOutcome(error) === Outcome.notRun)
  await assert.rejects(handled, (error) => getErrorOutcome(error) === Outcome.notRun)
  assert.equal(runner.runs, 0)
})

test('while the store is down a ticket runs once in its process, and never in another process', async () => {
  const store = new MemoryStore()
  store.fault = StoreFault.down
  const { gate, runner, tickets } = createGate(store)
  const key = tickets.issue()
  const first = gate.handle(createCall(key))
  await flushPromises()
  runner.finish.forEach((finish) => { finish() })
  assert.equal(await first, 'answer 1')
  assert.equal(await gate.handle(createCall(key)), 'answer 1')
  assert.equal(runner.runs, 1)
  const successor = createGate(store, 'b')
  await assert.rejects(successor.gate.handle(createCall(key)), (error) => getErrorOutcome(error) === Outcome.unknown)
  assert.equal(successor.runner.runs, 0)
})

test('a call that did not reach the service may be repeated', async () => {
  const { gate, runner } = createGate()
  runner.error = createError(ErrorKind.endpointFailed, 'connection refused')
  await assert.rejects(gate.handle(createCall('k')), (error) => getErrorOutcome(error) === Outcome.notRun)
  runner.error = undefined
  const second = gate.handle(createCall('k'))
  await flushPromises()
  runner.finish.forEach((finish) => { finish() })
  assert.equal(await second, 'answer 2')
})

test('a call that may have reached the service is never run again', async () => {
  const { gate, runner } = createGate()
  runner.error = createError(ErrorKind.endpointFailed, 'connection broke', { outcome: Outcome.unknown })
  for (let repeat = 0; repeat < 3; repeat++) {
    await assert.rejects(gate.handle(createCall('k')), (error) => getErrorOutcome(error) === Outcome.unknown)
  }
  assert.equal(runner.runs, 1)
})

test('a leaving gate refuses new calls with outcome not-run and finishes running calls', async () => {
  const { gate, runner } = createGate()
  const running = gate.handle(createCall(''))
  gate.setLeaving(true)
  await assert.rejects(gate.handle(createCall('')), (error) => getErrorKind(error) === ErrorKind.leaving && getErrorOutcome(error) === Outcome.notRun)
  runner.finish.forEach((finish) => { finish() })
  assert.equal(await running, 'answer 1')
})

test('a repeat that never arrived resolves to the answer of its key, not to "not run", when the key has run', async () => {
  const { gate, runner, tickets } = createGate()
  const key = tickets.issue()
  const first = gate.handle(createCall(key))
  await flushPromises()
  runner.finish.forEach((finish) => { finish() })
  await first
  const lost = createCall(key)
  assert.equal(await gate.resolve(lost.request, lost.scope, lost.key), 'answer 1')
})
