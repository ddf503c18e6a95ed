/**
 * One run of the soak: starts a complete system, injects the faults of a plan under steady traffic, and checks all answers.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { SeededRandom } from '@clementineloft/kernel'
import { EmulatedPlatform } from '../emulator/emulated-platform.js'
import { SoakFaultInjector } from './soak-fault-injector.js'
import { planSoak, soakDurationMs } from './soak-plan.js'
import type { SoakStep } from './soak-plan.js'
import { SoakCall, SoakTraffic } from './soak-traffic.js'

/** Result of a run. */
export interface SoakResult {
  seed: number
  /** Violated guarantees. */
  violations: string[]
  /** Numbers of answers by kind and status. */
  counts: string
  steps: SoakStep[]
  /** Folder with the logs of the processes. */
  folder: string
}

const sizes = { entries: 2, workers: 6, services: 2 } as const
/** Duration of traffic after the last step has begun, in milliseconds; longer than any step. */
const trailingTrafficMs = 4000
/** Limit on the time from the end of all faults until every entry serves every kind of call, in milliseconds. */
const recoveryTimeoutMs = 8000
const recoveryPollIntervalMs = 200

/** Runs a system under faults and traffic, and collects violated guarantees. */
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
      const injector = new SoakFaultInjector(platform)
      const steps = planSoak(seed, injector.getTargetCounts())
      const load = traffic.run(soakDurationMs + trailingTrafficMs)
      await injector.execute(steps)
      await load
      await this.checkRecovery(injector)
      traffic.checkBookings()
      const violations = [...traffic.violations, ...platform.fleet.invalidPathCallIds.map((id) => `stream ${id} skipped or repeated layers`)]
      const counts = [...traffic.outcomeCounts].sort().map(([outcome, count]) => `${outcome}: ${count}`).join(', ')
      return { seed, violations, counts, steps, folder: platform.processes.folder }
    } finally {
      traffic.close()
      await platform.stop()
    }
  }

  /**
   * Writes one more configuration, and checks that every entry then serves every kind of call and that no process has
   * exited unexpectedly.
   */
  private async checkRecovery (injector: SoakFaultInjector): Promise<void> {
    for (const service of this.platform.services) service.answerFaults.length = 0
    injector.addRoute()
    const deadlineMs = Date.now() + recoveryTimeoutMs
    for (let entry = 1; entry <= sizes.entries; entry++) {
      for (const kind of Object.values(SoakCall)) {
        let status = await this.traffic.send(kind, entry)
        while (status !== 200 && Date.now() < deadlineMs) {
          await wait(recoveryPollIntervalMs)
          status = await this.traffic.send(kind, entry)
        }
        if (status !== 200) this.traffic.violations.push(`entry ${entry} answers a ${kind} with ${status} ${recoveryTimeoutMs} ms after the last fault`)
      }
    }
    for (const name of injector.processNames) {
      if (!this.platform.processes.isRunning(name)) this.traffic.violations.push(`process ${name} exited unexpectedly`)
    }
  }
}

/**
 * Runs the soak once.
 *
 * @param network - first two octets of all addresses; runs at the same time need different ones
 */
export const runSoak = async (seed: number, network: string): Promise<SoakResult> => await new SoakRun(seed, network).run()
