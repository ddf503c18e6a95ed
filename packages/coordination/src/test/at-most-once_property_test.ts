/**
 * Guards at-most-once execution: runs the gates and key ranges of two workers with random restarts, store outages and
 * lost answers. A key that runs twice, or a call that runs after it was reported as not run, fails the test.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { CallGate, CallRunner, ClaimRange, MemoryStore, StoreFault, TicketIssuer } from '@clementineloft/coordination'
import type { GuardedCall } from '@clementineloft/coordination'
import { getErrorOutcome, ManualClock, Outcome } from '@clementineloft/kernel'

const seed = 20_261_204
const keys = ['k0', 'k1']

class RecordingRunner extends CallRunner<GuardedCall, string> {
  readonly entries: GuardedCall[] = []

  override async run (call: GuardedCall): Promise<string> {
    this.entries.push(call)
    await new Promise((resolve) => { setImmediate(resolve) })
    return `answer to ${call.request}`
  }
}

const action = fc.oneof(
  fc.record({ type: fc.constant('call' as const), worker: fc.nat(1), key: fc.nat(1) }),
  fc.record({ type: fc.constant('restart' as const), worker: fc.nat(1) }),
  fc.record({ type: fc.constant('resolve' as const), worker: fc.nat(1), back: fc.nat(3) }),
  fc.record({ type: fc.constant('fault' as const), fault: fc.constantFrom(...Object.values(StoreFault)) }),
  fc.record({ type: fc.constant('pass' as const), turns: fc.nat(6), ms: fc.nat(3000) })
)

test(`no key runs twice and no call reported as "not run" runs (seed ${seed})`, async () => {
  await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 30 }), async (actions) => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const runner = new RecordingRunner()
    let incarnationCount = 0
    const createGate = (): CallGate<GuardedCall, string> => {
      const incarnation = `i${++incarnationCount}`
      const range = new ClaimRange<string>(store, 'claims/0', clock, {
        holder: incarnation, incarnation, retentionMs: 1e9, writeIntervalMs: 1
      })
      const tickets = new TicketIssuer(incarnation, incarnation, clock, 1e9)
      return new CallGate(incarnation, runner, () => range, tickets, clock, 1e9)
    }
    const gates = [createGate(), createGate()]
    const reportedOutcomes = new Map<string, string>()
    const sentCalls: Array<{ request: string, worker: number, gate: CallGate<GuardedCall, string>, key: string }> = []
    const recordNotRun = (request: string) => (error: unknown): void => {
      if (getErrorOutcome(error) === Outcome.notRun) reportedOutcomes.set(request, 'not-run')
    }
    for (const step of actions) {
      if (step.type === 'fault') store.fault = step.fault
      if (step.type === 'restart') gates[step.worker] = createGate()
      if (step.type === 'call') {
        const request = `r${sentCalls.length}`
        const gate = gates[step.worker] as CallGate<GuardedCall, string>
        const key = keys[step.key] as string
        sentCalls.push({ request, worker: step.worker, gate, key })
        gate.handle({ request, scope: 's', key, fingerprint: key, isIdempotent: false }).catch(recordNotRun(request))
      }
      if (step.type === 'resolve') {
        const call = sentCalls.at(-1 - step.back)
        if (call !== undefined && gates[call.worker] === call.gate) call.gate.resolve(call.request, 's', call.key).catch(recordNotRun(call.request))
      }
      if (step.type !== 'pass') continue
      for (let turn = 0; turn < step.turns; turn++) await clock.advanceGradually(step.ms / 6, 50)
    }
    store.fault = StoreFault.none
    await clock.advanceGradually(10_000, 200)
    for (const key of keys) assert.ok(runner.entries.filter((call) => call.key === key).length <= 1, `${key} ran twice`)
    for (const call of runner.entries) assert.notEqual(reportedOutcomes.get(call.request), 'not-run', `${call.request} ran`)
  }), { seed, numRuns: 1000 })
})
