/**
 * One run of the soak: a whole system as separate processes, harmed as a plan says, under traffic that checks answers.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { SeededRandom } from '@clementineloft/kernel'
import { EmulatedPlatform } from '../emulator/emulated-platform.js'
import { SoakHarm } from './soak-harm.js'
import { planSoak, soakSpanMs } from './soak-plan.js'
import type { SoakStep } from './soak-plan.js'
import { SoakCall, SoakTraffic } from './soak-traffic.js'

/** What came of a run. */
export interface SoakResult {
  seed: number
  /** Promises that were not kept. */
  broken: string[]
  /** Answers by kind and status. */
  counts: string
  steps: SoakStep[]
  /** Where the logs of the processes are. */
  folder: string
}

const sizes = { entries: 2, workers: 6, services: 2 } as const
/** Traffic after the last step has begun; longer than any step lasts. */
const tailMs = 4000
/** Longest time after all harm is over until every entry serves every kind, in milliseconds. */
const recoveryBoundMs = 8000
const recoveryPollMs = 200

/** Runs a system under harm and traffic, and judges what was seen. */
class SoakRun {
  private readonly platform: EmulatedPlatform
  private readonly traffic: SoakTraffic

  constructor (private readonly seed: number, network: string) {
    this.platform = new EmulatedPlatform({ network, ...sizes, hasRelays: true })
    this.traffic = new SoakTraffic(this.platform, sizes.entries, new SeededRandom(seed))
  }

  async run (): Promise<SoakResult> {
    const { platform, traffic, seed } = this
    try {
      await platform.start()
      const harm = new SoakHarm(platform)
      const steps = planSoak(seed, harm.getSizes())
      const load = traffic.run(soakSpanMs + tailMs)
      await harm.execute(steps)
      await load
      await this.checkRecovery(harm)
      traffic.checkBookings()
      const broken = [...traffic.broken, ...platform.fleet.invalidPathCallIds.map((id) => `stream ${id} skipped or repeated layers`)]
      const counts = [...traffic.counts].sort().map(([outcome, count]) => `${outcome}: ${count}`).join(', ')
      return { seed, broken, counts, steps, folder: platform.processes.folder }
    } finally {
      traffic.close()
      await platform.stop()
    }
  }

  /** Each entry must serve each kind of call again, and the configuration that was written last. */
  private async checkRecovery (harm: SoakHarm): Promise<void> {
    for (const service of this.platform.services) service.answerFaults.length = 0
    harm.addRoute()
    const endMs = Date.now() + recoveryBoundMs
    for (let entry = 1; entry <= sizes.entries; entry++) {
      for (const kind of Object.values(SoakCall)) {
        let status = await this.traffic.send(kind, entry)
        while (status !== 200 && Date.now() < endMs) {
          await wait(recoveryPollMs)
          status = await this.traffic.send(kind, entry)
        }
        if (status !== 200) this.traffic.broken.push(`entry ${entry} answers a ${kind} with ${status} ${recoveryBoundMs} ms after the last harm`)
      }
    }
    for (const name of harm.names) {
      if (!this.platform.processes.isRunning(name)) this.traffic.broken.push(`process ${name} has ended by itself`)
    }
  }
}

/**
 * Runs the soak once.
 *
 * @param network - first two numbers of all addresses; no two runs at a time share them
 */
export const runSoak = async (seed: number, network: string): Promise<SoakResult> => await new SoakRun(seed, network).run()
