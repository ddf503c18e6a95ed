/**
 * Runs a complete system on loopback: entries, sidecars, engines, booking services and the platform, each as a process.
 */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Instance } from '@clementineloft/coordination'
import { computeDigest } from '@clementineloft/kernel'
import type { ConfigDocument } from 'clementineloft'
import { Relay } from './relay.js'
import { ProcessGroup, waitForUrl } from './process-group.js'
import { programCommand, standInCommand } from './program-paths.js'

/** Size and settings of a fleet. */
export interface FleetOptions {
  entries: number
  /** First and last layer of each stage, both inclusive. */
  stages: ReadonlyArray<readonly [number, number]>
  /** Endpoints for each stage. */
  endpointsPerStage: number
  /** Endpoints of the booking service. */
  workers: number
  engineStepMs: number
  bookingMs: number
  /** Grace period of a shutdown, in milliseconds. */
  graceMs: number
  /** Whether traffic to each sidecar passes through a relay, which can inject network faults. */
  hasRelays: boolean
  /** Time between two reads of the instance list, in milliseconds. */
  listIntervalMs: number
  /** Files for mutual TLS; connections are unencrypted if absent. */
  tls?: { caFile: string, certFile: string, keyFile: string }
}

const defaultOptions: FleetOptions = {
  entries: 1,
  stages: [[0, 3], [4, 7], [8, 11]],
  endpointsPerStage: 1,
  workers: 1,
  engineStepMs: 0,
  bookingMs: 0,
  graceMs: 20_000,
  hasRelays: false,
  listIntervalMs: 500
}

/** Addresses of one process. */
export interface FleetMember {
  name: string
  address: string
  adminUrl: string
  /** For an entry, the URL for callers; for a sidecar, the URL of its engine or service. */
  url: string
}

/** Name of the model in the demo. */
export const demoModel = 'walk-planner'

/** API key of the demo's team. */
export const demoKey = 'demo-key'

/** API key of another team. */
export const otherTeamKey = 'rival-key'

const host = '127.0.0.1'
const dataCentre = 'saskatoon'

/** @returns ports that were free at the time of the check; another process can take them before they are used */
const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, host, resolve) })
    return server
  }))
  const ports = servers.map((server) => (server.address() as { port: number }).port)
  await Promise.all(servers.map(async (server) => { await new Promise((resolve) => { server.close(resolve) }) }))
  return ports
}

/** Starts and stops the processes of a system, and controls the faults of its platform and links. */
export class DemoFleet {
  readonly processes: ProcessGroup
  readonly entries: FleetMember[] = []
  readonly sidecars: FleetMember[] = []
  readonly workers: FleetMember[] = []
  readonly layers: number
  platformUrl = ''
  /** Relays in front of sidecars, by name. */
  readonly relays = new Map<string, Relay>()
  private instances: Instance[] = []
  private ports: number[] = []

  private readonly options: FleetOptions
  /** Folder of settings and logs. */
  private readonly folder = mkdtempSync(join(tmpdir(), 'clementineloft-fleet-'))

  /** @param options - override the defaults: one entry, one endpoint for each of three stages, and one booking service */
  constructor (options: Partial<FleetOptions> = {}) {
    this.options = { ...defaultOptions, ...options }
    this.processes = new ProcessGroup(this.folder)
    this.layers = Math.max(...this.options.stages.map(([, lastLayer]) => lastLayer)) + 1
  }

  /** Starts all processes and waits until every entry is ready. */
  async start (): Promise<void> {
    const { entries, stages, endpointsPerStage, workers } = this.options
    this.ports = await findFreePorts(1 + entries * 3 + (stages.length * endpointsPerStage + workers) * 4)
    const platformPort = this.takePort()
    this.platformUrl = `http://${host}:${platformPort}`
    this.processes.start('platform', [...standInCommand, 'platform', String(platformPort)])
    await waitForUrl(`${this.platformUrl}/calls`)
    this.createMembers()
    await this.control({ instances: this.instances })
    await this.writeConfig(this.createConfigDocument())
    for (const sidecar of this.sidecars) this.startEngine(sidecar.name)
    for (const worker of this.workers) this.startService(worker.name)
    for (const member of [...this.entries, ...this.sidecars, ...this.workers]) this.startProgram(member.name)
    await Promise.all([...this.entries, ...this.sidecars, ...this.workers].map(async (member) => {
      await waitForUrl(`${member.adminUrl}/readyz`)
    }))
  }

  /** Kills all processes and closes all relays. */
  async stop (): Promise<void> {
    for (const relay of this.relays.values()) relay.close()
    await this.processes.killAll()
  }

  /** @returns the member with a name */
  find (name: string): FleetMember {
    return [...this.entries, ...this.sidecars, ...this.workers].find((member) => member.name === name) as FleetMember
  }

  /** Starts or restarts an entry or sidecar of the fleet. */
  startProgram (name: string): void {
    const role = name.startsWith('entry') ? 'entry' : 'sidecar'
    this.processes.start(name, [...programCommand, role, join(this.folder, `${name}.toml`)])
  }

  /** Starts or restarts the engine of a sidecar. */
  startEngine (name: string): void {
    const port = new URL(this.find(name).url).port
    this.processes.start(`${name}-engine`, [...standInCommand, 'engine', port, String(this.options.engineStepMs)])
  }

  /** Changes the fault of the platform's store or the content of its instance list. */
  async control (change: object): Promise<void> {
    await fetch(`${this.platformUrl}/control`, { method: 'PUT', body: JSON.stringify(change) })
  }

  /** Changes the state of an instance in the platform's list, or removes it with `absent`. */
  async setInstanceState (name: string, state: Instance['state'] | 'absent'): Promise<void> {
    this.instances = this.instances
      .filter((instance) => state !== 'absent' || instance.name !== name)
      .map((instance) => instance.name === name ? { ...instance, state: state as Instance['state'] } : instance)
    await this.control({ instances: this.instances })
  }

  private startService (name: string): void {
    const port = new URL(this.find(name).url).port
    this.processes.start(`${name}-service`, [...standInCommand, 'booking', port, String(this.options.bookingMs)])
  }

  private takePort (): number {
    return this.ports.pop() as number
  }

  private createMembers (): void {
    const { entries, stages, endpointsPerStage, workers } = this.options
    for (let index = 1; index <= entries; index++) this.entries.push(this.createMember(`entry-${index}`, 'entry'))
    for (const stage of stages.keys()) {
      for (let copy = 0; copy < endpointsPerStage; copy++) {
        this.sidecars.push(this.createMember(`stage-${stage}${String.fromCharCode(97 + copy)}`, 'engine'))
      }
    }
    for (let index = 1; index <= workers; index++) this.workers.push(this.createMember(`booking-${index}`, 'service'))
  }

  private createMember (name: string, kind: 'entry' | 'engine' | 'service'): FleetMember {
    const address = `${host}:${this.takePort()}`
    const admin = `${host}:${this.takePort()}`
    const companionAddress = `${host}:${this.takePort()}`
    const { tls } = this.options
    const role = kind === 'entry' ? 'entry' : 'sidecar'
    const companionSection = kind === 'entry' ? `[callers]\naddress = "${companionAddress}"\n` : `[${kind}]\nurl = "http://${companionAddress}"\n${kind === 'engine' ? 'takes_orders = true\n' : ''}`
    writeFileSync(join(this.folder, `${name}.toml`), [
      `role = "${role}"\n`,
      `[instance]\nname = "${name}"\ndata_centre = "${dataCentre}"\naddress = "${address}"\nadmin_address = "${admin}"\n`,
      `[platform]\nstore_url = "${this.platformUrl}"\nlist_url = "${this.platformUrl}"\nlist_interval_ms = ${this.options.listIntervalMs}\n`,
      tls === undefined ? '' : `[tls]\nca_file = "${tls.caFile}"\ncert_file = "${tls.certFile}"\nkey_file = "${tls.keyFile}"\n`,
      `[shutdown]\ngrace_ms = ${this.options.graceMs}\n`,
      companionSection
    ].join('\n'))
    this.instances.push({ name, role, address: role === 'entry' ? address : this.startRelay(name, address), dataCentre, state: 'live' })
    return { name, address, adminUrl: `http://${admin}`, url: `http://${companionAddress}` }
  }

  private startRelay (name: string, address: string): string {
    if (!this.options.hasRelays) return address
    const port = this.takePort()
    this.relays.set(name, new Relay({ host, port }, { host, port: Number(address.split(':')[1]) }))
    return `${host}:${port}`
  }

  private createConfigDocument (): ConfigDocument {
    const document: ConfigDocument = {
      teams: {
        bramble: { class: 'paying', weight: 1, keyDigests: [computeDigest(demoKey)] },
        thistle: { class: 'paying', weight: 1, keyDigests: [computeDigest(otherTeamKey)] }
      },
      models: { [demoModel]: { layers: this.layers } },
      endpoints: {},
      services: { bookings: { idempotentMethods: ['GET', 'HEAD'], keyRanges: 8 } },
      links: []
    }
    for (const [index, sidecar] of this.sidecars.entries()) {
      const [firstLayer, lastLayer] = this.options.stages[Math.floor(index / this.options.endpointsPerStage)] as readonly [number, number]
      document.endpoints[sidecar.name] = {
        state: 'serving', dataCentre, model: demoModel, firstLayer, lastLayer, tokensPerSecond: 100_000
      }
    }
    for (const worker of this.workers) document.endpoints[worker.name] = { state: 'serving', dataCentre, service: 'bookings' }
    return document
  }

  private async writeConfig (document: ConfigDocument): Promise<void> {
    const value = JSON.stringify({ operations: ['first'], body: { revision: 1, document, changes: [] } })
    await fetch(`${this.platformUrl}/objects/${encodeURIComponent('config/current')}`, {
      method: 'PUT', headers: { 'if-none-match': '*' }, body: JSON.stringify({ value })
    })
  }
}
