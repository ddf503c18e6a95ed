/**
 * Runs a complete system on loopback: the object store, model endpoints and a plain service as emulators in this process,
 * entries and sidecars as separate processes. Each has its own loopback address, as on separate machines.
 */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as wait } from 'node:timers/promises'
import { ProcessGroup, waitForUrl } from '../lib/process-group.js'
import { Relay } from '../lib/relay.js'
import { EmulatedService } from './emulated-service.js'
import { EmulatedStore } from './emulated-store.js'
import { EmulatedFleet, EmulatedWorker, emulatedModel } from './emulated-worker.js'

const program = fileURLToPath(import.meta.resolve('@clementineloft/platform/main'))
const storePort = 17_000
const callersPort = 17_100
const readinessPort = 17_101
const reportsPort = 17_102
const metricsPort = 17_104
const endpointPort = 17_200
const pollIntervalMs = 50
/**
 * Timeout for the start of all processes, in milliseconds. They start at the same time, and each takes some seconds where
 * processors are shared.
 */
const readyTimeoutMs = 60_000

/** API keys of the teams in the configuration. */
export const emulatedKeys = { prairie: 'key-prairie', river: 'key-river' } as const
export const emulatedHost = 'calls.example'
const types = [{ name: 'large', sizeMb: 1400, pace: 1, readFactor: 1 }, { name: 'small', sizeMb: 900, pace: 3, readFactor: 3 }]

/** Size of an emulated platform. */
export interface EmulatedPlatformOptions {
  /** First two octets of all addresses, such as `127.77`; platforms that run at the same time need different ones. */
  network: string
  entries: number
  workers: number
  services: number
  /** Types of the model endpoints, in turn; alternating if absent. */
  workerTypes?: string[]
  /** Whether traffic to each endpoint passes through a relay, which can inject network faults. */
  hasRelays?: boolean
  /** Limits of each entry process; without them it has those of this process. */
  entryLimits?: EntryLimits
}

/** Limits of an entry process. The same memory and descriptors are written to its settings. */
export interface EntryLimits {
  /** Limit of the heap of V8, in MiB. */
  heapMb: number
  /** Memory that the process may have resident, in megabytes; stated in the settings only. */
  memoryMb: number
  /** Number of descriptors that the process may have open. */
  maxFds: number
}

interface ProcessSpec {
  name: string
  role: 'entry' | 'sidecar'
  host: string
  settings: string
}

/** Starts and stops the emulators and the processes, and writes the configuration. */
export class EmulatedPlatform {
  readonly store = new EmulatedStore()
  readonly fleet = new EmulatedFleet()
  readonly workers: EmulatedWorker[] = []
  readonly services: EmulatedService[] = []
  readonly processes = new ProcessGroup(mkdtempSync(join(tmpdir(), 'clementineloft-platform-')))
  /** Relays in front of endpoints, by the address of the endpoint. */
  readonly relays = new Map<string, Relay>()
  /** Limits of the configuration; a change takes effect with the next {@link writeConfig}. */
  readonly limits = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  private readonly processSpecs: ProcessSpec[] = []
  private version = 0
  private readonly routes = new Map<string, Record<string, unknown>>()

  constructor (private readonly options: EmulatedPlatformOptions) {}

  /** Starts all parts, and waits until every model endpoint holds layers and every entry is ready. */
  async start (): Promise<void> {
    const { network, entries, workers, services, workerTypes = ['large', 'small'] } = this.options
    this.addRoute('streams', { pathPrefix: '/streams/', type: 'streaming', service: 'model', resumable: true, timeoutMs: 8000, sloMs: 500, itlTargetMs: 200 })
    this.addRoute('bookings', { pathPrefix: '/bookings/', type: 'non_idempotent', service: 'desk', maxAttempts: 1 })
    this.addRoute('lookups', { pathPrefix: '/lookups/', type: 'idempotent', service: 'desk' })
    this.writeConfig()
    for (let index = 0; index < workers; index++) {
      const type = workerTypes[index % workerTypes.length] as string
      const worker = new EmulatedWorker(this.fleet, this.store, 'model', `${network}.2.${index + 1}`, endpointPort, `zone-${index % 2}`, type, this.startRelay(`${network}.2.${index + 1}`, `${network}.4.${index + 1}`))
      this.workers.push(worker)
      await worker.start()
      await this.startProcess(`sidecar-${index + 1}`, 'sidecar', worker.host, worker.getAddress())
    }
    for (let index = 0; index < services; index++) {
      const service = new EmulatedService(`desk-${index + 1}`, 'desk', `${network}.3.${index + 1}`, endpointPort, `zone-${index % 2}`, this.store, this.fleet.crashTriggers, this.startRelay(`${network}.3.${index + 1}`, `${network}.5.${index + 1}`))
      this.services.push(service)
      await service.start()
    }
    for (let index = 0; index < entries; index++) await this.startProcess(`entry-${index + 1}`, 'entry', `${network}.1.${index + 1}`)
    await this.waitUntilReady()
  }

  /** Kills all processes and stops all emulators. */
  async stop (): Promise<void> {
    this.fleet.crashTriggers.isStopped = true
    await this.processes.killAll()
    this.store.stop()
    for (const worker of this.workers) worker.crash(0)
    for (const service of this.services) service.crash()
    for (const relay of this.relays.values()) relay.close()
  }

  /** @returns names of all processes with a role */
  listProcesses (role: 'entry' | 'sidecar'): string[] {
    return this.processSpecs.filter((plan) => plan.role === role).map((plan) => plan.name)
  }

  /** @returns address at which an entry accepts calls; entries are numbered from 1 */
  getEntryAddress (entryNumber: number): string {
    return `${this.options.network}.1.${entryNumber}:${callersPort}`
  }

  /** @returns address at which an entry answers readiness requests; entries are numbered from 1 */
  getReadinessAddress (entryNumber: number): string {
    return `${this.options.network}.1.${entryNumber}:${readinessPort}`
  }

  /** @returns address at which an entry serves its metrics; entries are numbered from 1 */
  getMetricsAddress (entryNumber: number): string {
    return `${this.options.network}.1.${entryNumber}:${metricsPort}`
  }

  /** @returns host at which the store serves one process, so that it can refuse this process alone */
  getStoreHost (name: string): string {
    const index = this.processSpecs.findIndex((plan) => plan.name === name)
    return `${this.options.network}.9.${index + 1}`
  }

  /** Starts a process that has ended. */
  restartProcess (name: string): void {
    const plan = this.processSpecs.find((other) => other.name === name) as ProcessSpec
    this.processes.start(name, this.createCommand(plan.role), { CLEMENTINELOFT_CONFIG: plan.settings })
  }

  private createCommand (role: ProcessSpec['role']): string[] {
    const { entryLimits: limits } = this.options
    if (role !== 'entry' || limits === undefined) return [process.execPath, program, role]
    const command = `ulimit -n ${limits.maxFds}; exec "$0" --max-old-space-size=${limits.heapMb} --max-semi-space-size=4 "$@"`
    return ['sh', '-c', command, process.execPath, program, role]
  }

  /** Adds or replaces a route; takes effect with the next {@link writeConfig}. */
  addRoute (name: string, fields: Record<string, unknown>): void {
    this.routes.set(name, { name, host: emulatedHost, timeoutMs: 1500, sloMs: 200, priority: 1, maxAttempts: 2, public: false, sticky: false, ...fields })
  }

  /** Removes a route; takes effect with the next {@link writeConfig}. */
  removeRoute (name: string): void {
    this.routes.delete(name)
  }

  /** Writes the configuration under a new version. */
  writeConfig (keys: Record<string, string> = emulatedKeys): void {
    this.version += 3
    const { layers, layerMb, tokenBytes, loadMs } = emulatedModel
    const engine = {
      slots: 50,
      kvBytes: tokenBytes,
      step_ms: 1,
      per_seq_ms: 0.01,
      read_per_s: 100_000,
      layers,
      layerMb,
      activationBytes: 1000,
      pipeMbps: 10_000,
      loads_at_once: 5,
      models: [{ name: 'm', loadS: loadMs / 1000 }],
      usual: { prompt: 100, answer: 60 },
      types
    }
    this.store.write('config', 'main', {
      version: this.version,
      routes: [...this.routes.values()],
      services: [{ name: 'model', healthPath: '/healthz', engine }, { name: 'desk', healthPath: '/healthz' }],
      limits: this.limits,
      tenants: Object.entries(keys).map(([name, key]) => ({ name, apiKeys: [key], priority: 1 }))
    })
  }

  /** Waits until every entry is ready and every worker holds layers. */
  async waitUntilReady (): Promise<void> {
    for (const plan of this.processSpecs) {
      if (plan.role === 'entry') await waitForUrl(`http://${plan.host}:${readinessPort}/v1/readyz`, readyTimeoutMs)
    }
    const readyDeadlineMs = Date.now() + readyTimeoutMs
    while (this.workers.some((worker) => worker.layers === null)) {
      if (Date.now() >= readyDeadlineMs) throw new Error(`some workers did not load layers within ${readyTimeoutMs} ms; logs are in ${this.processes.folder}`)
      await wait(pollIntervalMs)
    }
  }

  /** @returns host at which the endpoint must listen: its own, or a separate one if a relay uses its own */
  private startRelay (host: string, listenHost: string): string {
    if (this.options.hasRelays !== true) return host
    this.relays.set(`${host}:${endpointPort}`, new Relay({ host, port: endpointPort }, { host: listenHost, port: endpointPort }))
    return listenHost
  }

  private async startProcess (name: string, role: ProcessSpec['role'], host: string, endpoint = ''): Promise<void> {
    const storeHost = `${this.options.network}.9.${this.processSpecs.length + 1}`
    await this.store.listen(storeHost, storePort)
    const settings = join(this.processes.folder, `${name}.toml`)
    writeFileSync(settings, this.createSettings(name, role, host, storeHost, endpoint))
    this.processSpecs.push({ name, role, host, settings })
    this.restartProcess(name)
  }

  private createSettings (name: string, role: ProcessSpec['role'], host: string, storeHost: string, endpoint: string): string {
    const lines = [
      `role = "${role}"`,
      '[instance]', `name = "${name}"`, 'data_centre = "zone-0"', `metrics_address = "${host}:${metricsPort}"`, `reports_address = "${host}:${reportsPort}"`,
      '[platform]', `store_address = "${storeHost}:${storePort}"`, 'heartbeat_ms = 400',
      '[shutdown]', 'grace_ms = 6000',
      '[retries]', 'window_ms = 10000', 'ratio = 0.2', 'extra = 400'
    ]
    const { entryLimits: limits } = this.options
    if (role === 'entry' && limits !== undefined) lines.push('[limits]', `memory_mb = ${limits.memoryMb}`, `max_fds = ${limits.maxFds}`)
    if (role === 'entry') lines.push('[callers]', `address = "${host}:${callersPort}"`, `readiness_address = "${host}:${readinessPort}"`)
    else lines.push('[endpoint]', `address = "${endpoint}"`, 'service = "model"')
    return lines.join('\n') + '\n'
  }
}
