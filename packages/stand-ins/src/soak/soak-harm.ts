/**
 * Does to a running system what a plan says, and undoes it.
 */
import { setTimeout as wait } from 'node:timers/promises'
import type { AnswerFault } from '../emulator/emulated-call.js'
import type { EmulatedPlatform } from '../emulator/emulated-platform.js'
import { EmulatedStoreFault } from '../emulator/emulated-store.js'
import type { RelayFault } from '../lib/relay.js'
import { SoakAction } from './soak-plan.js'
import type { SoakSizes, SoakStep } from './soak-plan.js'

const spoiledAnswers = 4

/** Harms one system, whose processes have started. */
export class SoakHarm {
  /** Names of all processes that may be harmed. */
  readonly names: string[]
  private routes = 0

  constructor (private readonly platform: EmulatedPlatform) {
    this.names = [...platform.listProcesses('entry'), ...platform.listProcesses('sidecar')]
  }

  /** @returns what a plan for this system can choose from */
  getSizes (): SoakSizes {
    const { workers, services } = this.platform
    return { processes: this.names.length, workers: workers.length, services: services.length }
  }

  /** Does all steps at their times, and waits until the last is undone. */
  async execute (steps: readonly SoakStep[]): Promise<void> {
    const startedMs = Date.now()
    const open: Array<Promise<void>> = []
    for (const step of steps) {
      await wait(startedMs + step.atMs - Date.now())
      open.push(this.executeStep(step))
    }
    await Promise.all(open)
  }

  private async executeStep (step: SoakStep): Promise<void> {
    if (step.action.endsWith('-process')) await this.harmProcess(step)
    else if (step.action.endsWith('-worker')) await this.harmWorker(step)
    else if (step.action.endsWith('-service')) await this.drainService(step)
    else await this.harmOther(step)
  }

  private async harmProcess ({ action, target, forMs }: SoakStep): Promise<void> {
    const { processes, store } = this.platform
    const name = this.names[target] as string
    if (action === SoakAction.hangUpProcess) processes.signal(name, 'SIGHUP')
    if (action === SoakAction.refuseProcess) {
      store.refusedHosts.add(this.platform.getStoreHost(name))
      await wait(forMs)
      store.refusedHosts.delete(this.platform.getStoreHost(name))
    }
    if (action === SoakAction.pauseProcess) {
      processes.signal(name, 'SIGSTOP')
      await wait(forMs)
      processes.signal(name, 'SIGCONT')
    }
    if (action === SoakAction.killProcess || action === SoakAction.stopProcess) {
      processes.signal(name, action === SoakAction.killProcess ? 'SIGKILL' : 'SIGTERM')
      await processes.waitForEnd(name)
      await wait(forMs)
      if (!processes.isRunning(name)) this.platform.restartProcess(name)
    }
  }

  private async harmWorker ({ action, target, forMs }: SoakStep): Promise<void> {
    const worker = this.platform.workers[target] as EmulatedPlatform['workers'][number]
    if (action === SoakAction.silenceWorker) {
      worker.isSilent = true
      await wait(forMs)
      worker.isSilent = false
      return
    }
    if (!worker.isStarted()) return
    worker.crash()
    await wait(forMs)
    if (!worker.isStarted()) await worker.start()
  }

  private async drainService ({ target, forMs }: SoakStep): Promise<void> {
    const service = this.platform.services[target]
    service?.writeServerRecord('draining')
    await wait(forMs)
    service?.writeServerRecord('ready')
  }

  private async harmOther ({ action, target, forMs, variant }: SoakStep): Promise<void> {
    const { store, relays, services } = this.platform
    if (action === SoakAction.dropHistory) store.dropHistory()
    if (action === SoakAction.changeConfig) this.addRoute()
    if (action === SoakAction.spoilAnswers) services[target]?.answerFaults.push(...Array.from({ length: spoiledAnswers }, () => variant as AnswerFault))
    if (action === SoakAction.harmLink) {
      const relay = [...relays.values()][target]
      relay?.harm(variant as RelayFault)
      await wait(forMs)
      relay?.heal()
    }
    if (action === SoakAction.harmStore) {
      store.fault = variant as EmulatedStoreFault
      await wait(forMs)
      store.fault = EmulatedStoreFault.none
    }
  }

  /** Adds a route to the configuration and writes it. */
  addRoute (): void {
    this.routes++
    this.platform.addRoute(`added-${this.routes}`, { pathPrefix: `/added-${this.routes}/`, type: 'idempotent', service: 'desk' })
    this.platform.writeConfig()
  }
}
