/**
 * Failures of booking endpoints and of the store while calls with at-most-once semantics are in flight. A fault in their
 * handling shows as a booking that is executed twice, reported as not run but executed, or answered but not executed.
 */
import { setTimeout as wait } from 'node:timers/promises'
import type { LedgerEntry } from '../lib/booking-server.js'
import { callService } from '../lib/caller.js'
import type { ServiceAnswer } from '../lib/caller.js'
import type { DemoFleet } from '../lib/demo-fleet.js'
import { RelayFault } from '../lib/relay.js'
import { createFaultFleet, restartProgram, restartAfterExit } from './fault-case.js'
import type { FaultCase, FaultResult, FaultSuite } from './fault-case.js'

const maxRecoveryMs = 1000
const maxFreezeRecoveryMs = 3000
const cooldownMs = 3200
const path = '/bookings/slots'
const runId = process.pid

let bookingCount = 0

interface Booking {
  id: string
  key: string | undefined
  answer: ServiceAnswer
}

/** Sends bookings and records the answers. */
class BookingLog {
  readonly bookings: Booking[] = []

  constructor (private readonly fleet: DemoFleet) {}

  async book (options: { key?: string, id?: string, entry?: number } = {}): Promise<ServiceAnswer> {
    const id = options.id ?? `booking-${runId}-${++bookingCount}`
    const url = this.fleet.entries[(options.entry ?? bookingCount) % this.fleet.entries.length]?.url as string
    const answer = await callService(url, 'POST', path, { id }, options.key)
    this.bookings.push({ id, key: options.key, answer })
    return answer
  }

  async bookKeyed (entry?: number): Promise<ServiceAnswer> {
    const key = `key-${runId}-${bookingCount + 1}`
    return await this.book({ key, ...(entry === undefined ? {} : { entry }) })
  }

  async bookWithTicket (): Promise<ServiceAnswer> {
    const url = this.fleet.entries[bookingCount % this.fleet.entries.length]?.url as string
    const ticket = await callService(url, 'POST', '/bookings/:issue-key', {})
    return await this.book({ key: String(ticket.body['key']) })
  }

  /** Compares the answers with the ledgers of all services. */
  async checkLedgers (ledgers: ReadonlyMap<string, number>): Promise<{ isGuaranteeMet: boolean, observation: string }> {
    const duplicated = [...ledgers].filter(([, count]) => count > 1).map(([id]) => id)
    const notRun = this.bookings.filter((booking) => booking.answer.body['outcome'] === 'not-run')
    const wronglyNotRun = notRun.filter((booking) => {
      const hasRepeat = this.bookings.some((other) => other.id === booking.id && other.answer.status === 201)
      return ledgers.has(booking.id) && !hasRepeat
    })
    const answered = this.bookings.filter((booking) => booking.answer.status === 201)
    const missing = answered.filter((booking) => !ledgers.has(booking.id))
    const unknown = this.bookings.filter((booking) => booking.answer.body['outcome'] === 'unknown').length
    const kinds = [...new Set(notRun.map((booking) => String(booking.answer.body['detail'])))].slice(0, 1)
    const observation = `${this.bookings.length} calls: ${answered.length} answered, ${notRun.length} not run, ${unknown} unknown; ` +
      `ledger: ${duplicated.length} executed twice, ${wronglyNotRun.length} executed though "not run", ${missing.length} answered but absent ${kinds.join()}`
    return { isGuaranteeMet: duplicated.length + wronglyNotRun.length + missing.length === 0, observation }
  }
}

/** Counts bookings by identity over the ledgers of all services, which must be running. */
const readLedgers = async (fleet: DemoFleet): Promise<Map<string, number>> => {
  const counts = new Map<string, number>()
  for (const worker of fleet.workers) {
    const ledger = await fetch(`${worker.url}/ledger`).then(async (response) => await response.json() as LedgerEntry[])
    for (const entry of ledger) {
      const { id } = JSON.parse(entry.body) as { id: string }
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
  }
  return counts
}

/** Restarts a sidecar, and waits until entries no longer avoid it. */
const restartSidecar = async (fleet: DemoFleet, name: string): Promise<void> => {
  await restartProgram(fleet, name)
  await wait(cooldownMs)
}

/**
 * Sends bookings with and without keys at a steady rate, and injects a fault after a quarter of the time.
 *
 * @returns whether the ledgers match the answers, and the durations of the bookings that were sent after the fault
 */
const bookDuring = async (fleet: DemoFleet, injectFault: () => Promise<void> | void, durationMs: number): Promise<FaultResult> => {
  const log = new BookingLog(fleet)
  const calls: Array<Promise<ServiceAnswer>> = []
  const recoveryMs: number[] = []
  const startedMs = performance.now()
  let injectedMs = 0
  let sentCount = 0
  while (performance.now() - startedMs < durationMs) {
    if (injectedMs === 0 && performance.now() - startedMs > durationMs / 4) {
      injectedMs = performance.now()
      await injectFault()
    }
    const call = sentCount++ % 2 === 0 ? log.book() : log.bookKeyed()
    const sentMs = performance.now()
    call.then((answer) => {
      if (injectedMs > 0 && sentMs >= injectedMs && answer.status === 201) recoveryMs.push(performance.now() - sentMs)
    }, () => {})
    calls.push(call)
    await wait(10)
  }
  await Promise.all(calls)
  const verdict = await log.checkLedgers(await readLedgers(fleet))
  return { ...verdict, recoveryMs }
}

const cases: FaultCase[] = [
  {
    name: 'booking sidecar killed',
    injectedFault: 'SIGKILL to one booking sidecar under 100 calls a second, half with keys',
    maxRecoveryMs,
    run: async (fleet) => {
      const result = await bookDuring(fleet, () => { fleet.processes.signal('booking-1', 'SIGKILL') }, 3000)
      await restartSidecar(fleet, 'booking-1')
      return result
    }
  },
  {
    name: 'booking sidecar frozen and woken',
    injectedFault: 'SIGSTOP to one booking sidecar for 4 s under 100 calls a second',
    maxRecoveryMs: maxFreezeRecoveryMs,
    run: async (fleet) => {
      const result = await bookDuring(fleet, () => {
        fleet.processes.signal('booking-2', 'SIGSTOP')
        setTimeout(() => { fleet.processes.signal('booking-2', 'SIGCONT') }, 4000)
      }, 6000)
      await wait(1000)
      return result
    }
  },
  {
    name: 'booking sidecar cut off',
    injectedFault: 'all bytes towards one booking sidecar dropped for 4 s under 100 calls a second',
    maxRecoveryMs: maxFreezeRecoveryMs,
    run: async (fleet) => await bookDuring(fleet, () => {
      fleet.relays.get('booking-3')?.setFault(RelayFault.silent)
      setTimeout(() => { fleet.relays.get('booking-3')?.clearFault() }, 4000)
    }, 6000)
  },
  {
    name: 'repeats at once',
    injectedFault: 'one key sent 40 times at once through both entries',
    run: async (fleet) => {
      const log = new BookingLog(fleet)
      const id = `booking-${runId}-${++bookingCount}`
      const answers = await Promise.all(Array.from({ length: 40 }, async (_, index) => await log.book({ id, key: `key-${id}`, entry: index })))
      const numbers = new Set(answers.map((answer) => answer.body['number']))
      const verdict = await log.checkLedgers(await readLedgers(fleet))
      return { isGuaranteeMet: verdict.isGuaranteeMet && numbers.size === 1, observation: `${numbers.size} different answers; ${verdict.observation}`, recoveryMs: [] }
    }
  },
  {
    name: 'repeat after the owner died and restarted',
    injectedFault: '30 keys booked, each owner killed in turn and started again, every key repeated by the other entry',
    run: async (fleet) => {
      const log = new BookingLog(fleet)
      const first = await Promise.all(Array.from({ length: 30 }, async (_, index) => await log.book({ id: `r-${runId}-${index}`, key: `rk-${runId}-${index}`, entry: 0 })))
      await wait(600)
      let matchingAnswers = 0
      for (const worker of fleet.workers) {
        fleet.processes.signal(worker.name, 'SIGKILL')
        await fleet.processes.waitForExit(worker.name)
        const repeats = await Promise.all(first.map(async (_, index) => await log.book({ id: `r-${runId}-${index}`, key: `rk-${runId}-${index}`, entry: 1 })))
        matchingAnswers += repeats.filter((answer, index) => answer.body['number'] === first[index]?.body['number']).length
        await restartAfterExit(fleet, worker.name)
      }
      await wait(cooldownMs)
      const verdict = await log.checkLedgers(await readLedgers(fleet))
      return { isGuaranteeMet: verdict.isGuaranteeMet && matchingAnswers === 90, observation: `${matchingAnswers} of 90 repeats got the first answer; ${verdict.observation}`, recoveryMs: [] }
    }
  },
  {
    name: 'store loses answers',
    injectedFault: 'every write takes effect and its answer is lost, 60 keyed calls',
    run: async (fleet) => {
      const log = new BookingLog(fleet)
      await fleet.control({ fault: 'lost-answers' })
      await Promise.all(Array.from({ length: 60 }, async () => await log.bookKeyed()))
      await fleet.control({ fault: 'none' })
      const answered = log.bookings.filter((booking) => booking.answer.status === 201).length
      const verdict = await log.checkLedgers(await readLedgers(fleet))
      return { isGuaranteeMet: verdict.isGuaranteeMet && answered === 60, observation: verdict.observation, recoveryMs: [] }
    }
  },
  {
    name: 'store down',
    injectedFault: 'store answers 503 for the whole time, 60 ticketed calls and 60 with keys of the caller, each repeated',
    run: async (fleet) => {
      const log = new BookingLog(fleet)
      const known = await log.book({ id: `s-${runId}`, key: `sk-${runId}` })
      await fleet.control({ fault: 'down' })
      const repeat = await log.book({ id: `s-${runId}`, key: `sk-${runId}` })
      const ticketed = await Promise.all(Array.from({ length: 60 }, async () => await log.bookWithTicket()))
      const repeated = await Promise.all(log.bookings.slice(2).map(async ({ id, key }) => await log.book({ id, key: key as string })))
      const keyed = await Promise.all(Array.from({ length: 60 }, async () => await log.bookKeyed()))
      await fleet.control({ fault: 'none' })
      const served = ticketed.filter((answer) => answer.status === 201).length
      const servedAgain = repeated.filter((answer) => answer.status === 201).length
      const refused = keyed.filter((answer) => answer.body['kind'] === 'store-unavailable').length
      const isSame = known.body['number'] === repeat.body['number']
      const verdict = await log.checkLedgers(await readLedgers(fleet))
      const observation = `ticketed ${served}/60 served, repeats ${servedAgain}/60, own new keys ${60 - refused}/60 served, own known key ${isSame ? 'answered' : 'NOT answered'}; ${verdict.observation}`
      return { isGuaranteeMet: verdict.isGuaranteeMet && served === 60 && servedAgain === 60 && isSame && refused === 60, observation, recoveryMs: [] }
    }
  },
  {
    name: 'owner dies as the store goes down',
    injectedFault: 'store down and SIGKILL to a booking sidecar at the same moment, 40 keyed calls at once, for each worker in turn',
    run: async (fleet) => {
      const log = new BookingLog(fleet)
      for (const worker of fleet.workers) {
        await log.bookKeyed()
        const calls = Array.from({ length: 40 }, async () => await log.bookKeyed())
        await wait(60)
        await fleet.control({ fault: 'down' })
        fleet.processes.signal(worker.name, 'SIGKILL')
        await Promise.all(calls)
        await fleet.control({ fault: 'none' })
        await restartAfterExit(fleet, worker.name)
      }
      await wait(cooldownMs)
      const verdict = await log.checkLedgers(await readLedgers(fleet))
      return { ...verdict, recoveryMs: [] }
    }
  },
  {
    name: 'ticket after restart',
    injectedFault: 'tickets of a process that was killed, before and after use',
    run: async (fleet) => {
      const log = new BookingLog(fleet)
      const url = fleet.entries[0]?.url as string
      const tickets = await Promise.all(Array.from({ length: 12 }, async () => String((await callService(url, 'POST', '/bookings/:issue-key', {})).body['key'])))
      for (const [index, key] of tickets.entries()) {
        if (index % 2 === 0) await log.book({ id: `t-${runId}-${index}`, key })
      }
      for (const worker of fleet.workers) await restartSidecar(fleet, worker.name)
      const after = await Promise.all(tickets.map(async (key, index) => await log.book({ id: `t-${runId}-${index}`, key })))
      const unknown = after.filter((answer) => answer.body['outcome'] === 'unknown').length
      const verdict = await log.checkLedgers(await readLedgers(fleet))
      return { isGuaranteeMet: verdict.isGuaranteeMet && unknown === 12, observation: `${unknown} of 12 answered "unknown"; ${verdict.observation}`, recoveryMs: [] }
    }
  },
  {
    name: 'booking service killed',
    injectedFault: 'SIGKILL to one booking service (its ledger ends with it) under 100 calls a second',
    maxRecoveryMs,
    run: async (fleet) => {
      const log = new BookingLog(fleet)
      for (let index = 0; index < 30; index++) await log.book()
      const ledger = await readLedgers(fleet)
      const killedMs = performance.now()
      fleet.processes.signal('booking-1-service', 'SIGKILL')
      // The service may still accept this booking before it exits, in which case "unknown" is a correct outcome.
      const concurrent = await log.book()
      const isOutcomeValid = concurrent.status === 201 || concurrent.body['outcome'] === 'unknown'
      await fleet.processes.waitForExit('booking-1-service')
      const next = await log.book()
      const recoveryMs = performance.now() - killedMs
      const more = await Promise.all(Array.from({ length: 30 }, async () => await log.bookKeyed()))
      const served = more.filter((answer) => answer.status === 201).length
      const verdict = await log.checkLedgers(new Map([...ledger, ...log.bookings.slice(30).map((booking) => [booking.id, 1] as const)]))
      const reason = more.find((answer) => answer.status !== 201)?.body['detail'] ?? ''
      const observation = `booking sent with the kill ${concurrent.status}, next ${next.status}, ${served} of 30 keyed served ${String(reason)}`
      return { isGuaranteeMet: isOutcomeValid && next.status === 201 && served === 30 && verdict.observation !== '', observation, recoveryMs: [recoveryMs] }
    }
  }
]

/** Failures around calls with at-most-once semantics. */
export const callSuite: FaultSuite = { name: 'at most once, not run', createFleet: () => createFaultFleet(1, 3), cases }
