/**
 * Injects the faults of a soak plan into a running system, and removes each after its duration.
 */
import { setTimeout as wait } from 'node:timers/promises'
import type { AnswerFault } from '../emulator/emulated-call.js'
import type { EmulatedPlatform } from '../emulator/emulated-platform.js'
import { EmulatedStoreFault } from '../emulator/emulated-store.js'
import type { RelayFault } from '../lib/relay.js'
import { SoakAction } from './soak-plan.js'
import type { SoakTargetCounts, SoakStep } from './soak-plan.js'

const faultyAnswerCount = 4

/** Injects faults into one system, whose processes have started. */
export class SoakFaultInjector {
  /** Names of all processes that can be the target of a step. */
  readonly processNames: string[]
  private addedRouteCount = 0

  constructor (private readonly platform: EmulatedPlatform) {
    this.processNames = [...platform.listProcesses('entry'), ...platform.listProcesses('sidecar')]
  }

  /** @returns numbers of targets that a plan for this system can choose from */
  getTargetCounts (): SoakTargetCounts {
    const { workers, services } = this.platform
    return { processes: this.processNames.length, workers: workers.length, services: services.length }
  }

  /** Executes all steps at their times, and waits until the fault of the last one is removed. */
  async execute (steps: readonly SoakStep[]): Promise<void> {
    const startedMs = Date.now()
    const runningSteps: Array<Promise<void>> = []
    for (const step of steps) {
      await wait(startedMs + step.atMs - Date.now())
      runningSteps.push(this.executeStep(step))
    }
    await Promise.all(runningSteps)
  }

  private async executeStep (step: SoakStep): Promise<void> {
    if (step.action.endsWith('-process')) await this.applyProcessStep(step)
    else if (step.action.endsWith('-worker')) await this.applyWorkerStep(step)
    else if (step.action.endsWith('-service')) await this.drainService(step)
    else await this.applyOtherStep(step)
  }

  private async applyProcessStep ({ action, target, durationMs }: SoakStep): Promise<void> {
    const { processes, store } = this.platform
    const name = this.processNames[target] as string
    if (action === SoakAction.hangUpProcess) processes.signal(name, 'SIGHUP')
    if (action === SoakAction.refuseProcess) {
      store.refusedHosts.add(this.platform.getStoreHost(name))
      await wait(durationMs)
      store.refusedHosts.delete(this.platform.getStoreHost(name))
    }
    if (action === SoakAction.pauseProcess) {
      processes.signal(name, 'SIGSTOP')
      await wait(durationMs)
      processes.signal(name, 'SIGCONT')
    }
    if (action === SoakAction.killProcess || action === SoakAction.stopProcess) {
      processes.signal(name, action === SoakAction.killProcess ? 'SIGKILL' : 'SIGTERM')
      await processes.waitForExit(name)
      await wait(durationMs)
      if (!processes.isRunning(name)) this.platform.restartProcess(name)
    }
  }

  private async applyWorkerStep ({ action, target, durationMs }: SoakStep): Promise<void> {
    const worker = this.platform.workers[target] as EmulatedPlatform['workers'][number]
    if (action === SoakAction.silenceWorker) {
      worker.isSilent = true
      await wait(durationMs)
      worker.isSilent = false
      return
    }
    if (!worker.isStarted()) return
    worker.crash()
    await wait(durationMs)
    if (!worker.isStarted()) await worker.start()
  }

  private async drainService ({ target, durationMs }: SoakStep): Promise<void> {
    const service = this.platform.services[target]
    service?.writeServerRecord('draining')
    await wait(durationMs)
    service?.writeServerRecord('ready')
  }

  private async applyOtherStep ({ action, target, durationMs, variant }: SoakStep): Promise<void> {
    const { store, relays, services } = this.platform
    if (action === SoakAction.dropHistory) store.dropHistory()
    if (action === SoakAction.changeConfig) this.addRoute()
    if (action === SoakAction.injectAnswerFaults) services[target]?.answerFaults.push(...Array.from({ length: faultyAnswerCount }, () => variant as AnswerFault))
    if (action === SoakAction.injectLinkFault) {
      const relay = [...relays.values()][target]
      relay?.setFault(variant as RelayFault)
      await wait(durationMs)
      relay?.clearFault()
    }
    if (action === SoakAction.injectStoreFault) {
      store.fault = variant as EmulatedStoreFault
      await wait(durationMs)
      store.fault = EmulatedStoreFault.none
    }
  }

  /** Adds a route to the configuration and writes it. */
  addRoute (): void {
    this.addedRouteCount++
    this.platform.addRoute(`added-${this.addedRouteCount}`, { pathPrefix: `/added-${this.addedRouteCount}/`, type: 'idempotent', service: 'desk' })
    this.platform.writeConfig()
  }
}
