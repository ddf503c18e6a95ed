/**
 * Runs an experiment on the emulated platform and says second by second what callers got.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { SeededRandom } from '@clementineloft/kernel'
import { EmulatedPlatform } from '../emulator/emulated-platform.js'
import { computeQuantile } from '../measure/table.js'
import type { MeasuredTable } from '../measure/table.js'
import { SoakFaultInjector } from '../soak/soak-fault-injector.js'
import { planSoak } from '../soak/soak-plan.js'
import { SoakTraffic } from '../soak/soak-traffic.js'
import type { ExperimentSettings } from './experiment-settings.js'
import { planArrivals } from './plan-arrivals.js'

const millisecondsPerSecond = 1000
const succeeded = 200
const refused = 503

interface Outcome {
  second: number
  status: number
  tookMs: number
}

/** What came of an experiment. */
export interface ExperimentResult {
  table: MeasuredTable
  /** Promises that were not kept. */
  broken: string[]
}

const createRow = (second: number, outcomes: readonly Outcome[]): Array<string | number> => {
  const own = outcomes.filter((outcome) => outcome.second === second)
  const answered = own.filter(({ status }) => status === succeeded)
  const refusals = own.filter(({ status }) => status === refused)
  const times = answered.map(({ tookMs }) => tookMs)
  return [
    second, own.length, answered.length, refusals.length, own.length - answered.length - refusals.length,
    Math.round(computeQuantile(times, 0.5)), Math.round(computeQuantile(times, 0.99))
  ]
}

/** Plays an experiment in real time. */
export const runExperiment = async ({ experiment, system, load }: ExperimentSettings): Promise<ExperimentResult> => {
  const { seed, duration_s: durationS, has_harm: hasHarm, name } = experiment
  const platform = new EmulatedPlatform({ ...system, hasRelays: hasHarm })
  const traffic = new SoakTraffic(platform, system.entries, new SeededRandom(seed))
  const outcomes: Outcome[] = []
  try {
    await platform.start()
    const harm = new SoakFaultInjector(platform)
    const steps = hasHarm ? planSoak(seed, harm.getTargetCounts()) : []
    const harmed = harm.execute(steps)
    const startedMs = performance.now()
    const calls: Array<Promise<void>> = []
    for (const [index, { atMs, kind }] of planArrivals(load, durationS, seed).entries()) {
      const waitMs = startedMs + atMs - performance.now()
      if (waitMs > 0) await wait(waitMs)
      const sentMs = performance.now()
      calls.push(traffic.send(kind, 1 + index % system.entries).then((status) => {
        outcomes.push({ second: Math.floor(atMs / millisecondsPerSecond), status, tookMs: performance.now() - sentMs })
      }))
    }
    await Promise.all([...calls, harmed])
    traffic.checkBookings()
  } finally {
    traffic.close()
    await platform.stop()
  }
  const seconds = Array.from({ length: Math.ceil(durationS) }, (_, second) => second)
  return {
    broken: traffic.violations,
    table: {
      title: name,
      note: `Seed ${seed}, ${system.entries} entries, ${system.workers} model endpoints, ${system.services} plain endpoints; times of answered calls in milliseconds.`,
      columns: ['second', 'calls', 'answered', 'refused', 'other', 'p50 ms', 'p99 ms'],
      rows: seconds.map((second) => createRow(second, outcomes))
    }
  }
}
