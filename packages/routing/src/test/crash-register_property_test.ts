/**
 * Properties of the exchange of crashes between processes: whatever order, loss and repetition notices have, processes that
 * know the same agree, and calls that are answered are refused by none.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { ManualClock } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'

const processes = 3
const traits = ['call-a', 'call-b', 's/part-1', 's/part-2', 's/part-3']
const seed = 20_261_205

interface Step {
  kind: 'crash' | 'exchange' | 'wait'
  process: number
  other: number
  endpoint: number
  traits: string[]
  isBeginning: boolean
}

const step = fc.record({
  kind: fc.constantFrom('crash' as const, 'crash' as const, 'exchange' as const, 'wait' as const),
  process: fc.nat(processes - 1),
  other: fc.nat(processes - 1),
  endpoint: fc.nat(6),
  traits: fc.subarray(traits, { minLength: 1 }),
  isBeginning: fc.boolean()
})

/** Processes of one fleet on one clock. */
class Fleet {
  readonly clock = new ManualClock()
  readonly registers = Array.from({ length: processes }, () => new CrashRegister(this.clock, { commonCauseMs: 40 }))

  apply ({ kind, process, other, endpoint, traits: callTraits, isBeginning }: Step): void {
    const register = this.registers[process] as CrashRegister
    if (kind === 'wait') this.clock.advance(25)
    else if (kind === 'exchange') this.exchange(register, this.registers[other] as CrashRegister)
    else register.recordCrash(callTraits, { endpoint: `e${endpoint}-${process}`, sentMs: this.clock.now() - 10, crashedMs: this.clock.now(), isBeginning })
  }

  exchange (from: CrashRegister, to: CrashRegister): void {
    for (const trait of traits) {
      const notice = from.createNotice(trait)
      if (notice !== undefined) to.merge(notice)
    }
  }

  exchangeAll (): void {
    for (let round = 0; round < processes; round++) {
      for (const from of this.registers) for (const to of this.registers) this.exchange(from, to)
    }
  }
}

const calls = traits.flatMap((one) => traits.map((other) => [one, other]))

test('processes that have exchanged all notices refuse the same calls, whatever the order of exchanges before', () => {
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const fleet = new Fleet()
    for (const one of steps) fleet.apply(one)
    fleet.exchangeAll()
    const [first, ...others] = fleet.registers.map((register) => calls.map((call) => register.isRefused(call)))
    for (const other of others) assert.deepEqual(other, first)
  }), { seed, numRuns: 500 })
})

test('a call whose traits have just been answered is refused nowhere once the answer is known', () => {
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), fc.subarray(traits, { minLength: 1 }), (steps, answered) => {
    const fleet = new Fleet()
    for (const one of steps) fleet.apply(one)
    fleet.exchangeAll()
    ;(fleet.registers[0] as CrashRegister).recordAnswer(answered)
    fleet.exchangeAll()
    for (const register of fleet.registers) assert.equal(register.isRefused(answered), false)
  }), { seed, numRuns: 500 })
})

test('a part at every one of three crashes is refused, whatever other parts the calls had', () => {
  fc.assert(fc.property(fc.array(fc.subarray(['s/part-1', 's/part-2', 's/part-3']), { minLength: 3, maxLength: 6 }), (others) => {
    const fleet = new Fleet()
    others.forEach((parts, index) => {
      fleet.clock.advance(1000)
      fleet.apply({ kind: 'crash', process: index % processes, other: 0, endpoint: index, traits: [`call-${index}`, ...parts, 's/deadly'], isBeginning: true })
      for (const from of fleet.registers) {
        for (const to of fleet.registers) for (const notice of from.listNextNotices(100)) to.merge(notice)
      }
    })
    for (const register of fleet.registers) assert.ok(register.isRefused(['call-new', 's/part-1', 's/part-2', 's/part-3', 's/deadly']))
  }), { seed, numRuns: 300 })
})
