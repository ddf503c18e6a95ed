/**
 * Runs an experiment on the emulated platform and reports the answers to calls for each second.
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
const successStatus = 200
const refusedStatus = 503

interface Outcome {
  second: number
  status: number
  tookMs: number
}

/** Result of an experiment. */
export interface ExperimentResult {
  table: MeasuredTable
  /** Violated guarantees. */
  violations: string[]
}

const createRow = (second: number, outcomes: readonly Outcome[]): Array<string | number> => {
  const ownOutcomes = outcomes.filter((outcome) => outcome.second === second)
  const answered = ownOutcomes.filter(({ status }) => status === successStatus)
  const refusals = ownOutcomes.filter(({ status }) => status === refusedStatus)
  const durationsMs = answered.map(({ tookMs }) => tookMs)
  return [
    second, ownOutcomes.length, answered.length, refusals.length, ownOutcomes.length - answered.length - refusals.length,
    Math.round(computeQuantile(durationsMs, 0.5)), Math.round(computeQuantile(durationsMs, 0.99))
  ]
}

/** Runs an experiment in real time. */
export const runExperiment = async ({ experiment, system, load }: ExperimentSettings): Promise<ExperimentResult> => {
  const { seed, duration_s: durationS, has_harm: injectsFaults, name } = experiment
  const platform = new EmulatedPlatform({ ...system, hasRelays: injectsFaults })
  const traffic = new SoakTraffic(platform, system.entries, new SeededRandom(seed))
  const outcomes: Outcome[] = []
  try {
    await platform.start()
    const injector = new SoakFaultInjector(platform)
    const steps = injectsFaults ? planSoak(seed, injector.getTargetCounts()) : []
    const injection = injector.execute(steps)
    const startedMs = performance.now()
    const calls: Array<Promise<void>> = []
    for (const [index, { atMs, kind }] of planArrivals(load, durationS, seed).entries()) {
      const delayMs = startedMs + atMs - performance.now()
      if (delayMs > 0) await wait(delayMs)
      const sentMs = performance.now()
      calls.push(traffic.send(kind, 1 + index % system.entries).then((status) => {
        outcomes.push({ second: Math.floor(atMs / millisecondsPerSecond), status, tookMs: performance.now() - sentMs })
      }))
    }
    await Promise.all([...calls, injection])
    traffic.checkBookings()
  } finally {
    traffic.close()
    await platform.stop()
  }
  const seconds = Array.from({ length: Math.ceil(durationS) }, (_, second) => second)
  return {
    violations: traffic.violations,
    table: {
      title: name,
      note: `Seed ${seed}, ${system.entries} entries, ${system.workers} model endpoints, ${system.services} plain endpoints; durations of answered calls in milliseconds.`,
      columns: ['second', 'calls', 'answered', 'refused', 'other', 'p50 ms', 'p99 ms'],
      rows: seconds.map((second) => createRow(second, outcomes))
    }
  }
}
