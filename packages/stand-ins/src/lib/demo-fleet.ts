/**
 * A whole system on loopback: entries, sidecars, engines, booking services and the platform, each a process.
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
  /** First and last layer of each stage. */
  stages: ReadonlyArray<readonly [number, number]>
  /** Endpoints for each stage. */
  copies: number
  /** Endpoints of the booking service. */
  workers: number
  engineStepMs: number
  bookingMs: number
  /** Grace period of a shutdown, in milliseconds. */
  graceMs: number
  /** Whether a relay stands before each sidecar, to cut its link. */
  hasRelays: boolean
  /** Time between two reads of the instance list, in milliseconds. */
  listIntervalMs: number
  /** Files of mutual TLS; plain text unless given. */
  tls?: { caFile: string, certFile: string, keyFile: string }
}

const defaultOptions: FleetOptions = {
  entries: 1,
  stages: [[0, 3], [4, 7], [8, 11]],
  copies: 1,
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
  /** URL for callers of an entry; of the engine or service behind a sidecar. */
  url: string
}

/** Name of the model in the demo. */
export const demoModel = 'walk-planner'

/** API key of the demo's team. */
export const demoKey = 'demo-key'

/** API key of a rival team. */
export const rivalKey = 'rival-key'

const host = '127.0.0.1'
const dataCentre = 'saskatoon'

/** @returns ports that were free a moment ago */
const findPorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, host, resolve) })
    return server
  }))
  const ports = servers.map((server) => (server.address() as { port: number }).port)
  await Promise.all(servers.map(async (server) => { await new Promise((resolve) => { server.close(resolve) }) }))
  return ports
}

/** Starts, harms and stops a fleet. */
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

  /** @param options - what departs from one entry, one endpoint for each of three stages, and one booking service */
  constructor (options: Partial<FleetOptions> = {}) {
    this.options = { ...defaultOptions, ...options }
    this.processes = new ProcessGroup(this.folder)
    this.layers = Math.max(...this.options.stages.map(([, lastLayer]) => lastLayer)) + 1
  }

  /** Starts all processes and waits until every entry is ready. */
  async start (): Promise<void> {
    const { entries, stages, copies, workers } = this.options
    this.ports = await findPorts(1 + entries * 3 + (stages.length * copies + workers) * 4)
    const platformPort = this.takePort()
    this.platformUrl = `http://${host}:${platformPort}`
    this.processes.start('platform', [...standInCommand, 'platform', String(platformPort)])
    await waitForUrl(`${this.platformUrl}/calls`)
    this.planMembers()
    await this.control({ instances: this.instances })
    await this.writeConfig(this.createDocument())
    for (const sidecar of this.sidecars) this.startEngine(sidecar.name)
    for (const worker of this.workers) this.startService(worker.name)
    for (const member of [...this.entries, ...this.sidecars, ...this.workers]) this.startProgram(member.name)
    await Promise.all([...this.entries, ...this.sidecars, ...this.workers].map(async (member) => {
      await waitForUrl(`${member.adminUrl}/readyz`)
    }))
  }

  /** Ends all processes. */
  async stop (): Promise<void> {
    for (const relay of this.relays.values()) relay.close()
    await this.processes.killAll()
  }

  /** @returns the member of that name */
  find (name: string): FleetMember {
    return [...this.entries, ...this.sidecars, ...this.workers].find((member) => member.name === name) as FleetMember
  }

  /** Starts an entry or sidecar of the fleet, the first time or again. */
  startProgram (name: string): void {
    const role = name.startsWith('entry') ? 'entry' : 'sidecar'
    this.processes.start(name, [...programCommand, role, join(this.folder, `${name}.toml`)])
  }

  /** Starts the engine beside a sidecar, the first time or again. */
  startEngine (name: string): void {
    const port = new URL(this.find(name).url).port
    this.processes.start(`${name}-engine`, [...standInCommand, 'engine', port, String(this.options.engineStepMs)])
  }

  /** Changes what is wrong with the platform, or what its list shows. */
  async control (change: object): Promise<void> {
    await fetch(`${this.platformUrl}/control`, { method: 'PUT', body: JSON.stringify(change) })
  }

  /** Changes the state of an instance in the platform's list. */
  async listAs (name: string, state: Instance['state'] | 'absent'): Promise<void> {
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

  private planMembers (): void {
    const { entries, stages, copies, workers } = this.options
    for (let index = 1; index <= entries; index++) this.entries.push(this.planMember(`entry-${index}`, 'entry'))
    for (const stage of stages.keys()) {
      for (let copy = 0; copy < copies; copy++) {
        this.sidecars.push(this.planMember(`stage-${stage}${String.fromCharCode(97 + copy)}`, 'engine'))
      }
    }
    for (let index = 1; index <= workers; index++) this.workers.push(this.planMember(`booking-${index}`, 'service'))
  }

  private planMember (name: string, kind: 'entry' | 'engine' | 'service'): FleetMember {
    const address = `${host}:${this.takePort()}`
    const admin = `${host}:${this.takePort()}`
    const other = `${host}:${this.takePort()}`
    const { tls } = this.options
    const role = kind === 'entry' ? 'entry' : 'sidecar'
    const beside = kind === 'entry' ? `[callers]\naddress = "${other}"\n` : `[${kind}]\nurl = "http://${other}"\n${kind === 'engine' ? 'takes_orders = true\n' : ''}`
    writeFileSync(join(this.folder, `${name}.toml`), [
      `role = "${role}"\n`,
      `[instance]\nname = "${name}"\ndata_centre = "${dataCentre}"\naddress = "${address}"\nadmin_address = "${admin}"\n`,
      `[platform]\nstore_url = "${this.platformUrl}"\nlist_url = "${this.platformUrl}"\nlist_interval_ms = ${this.options.listIntervalMs}\n`,
      tls === undefined ? '' : `[tls]\nca_file = "${tls.caFile}"\ncert_file = "${tls.certFile}"\nkey_file = "${tls.keyFile}"\n`,
      `[shutdown]\ngrace_ms = ${this.options.graceMs}\n`,
      beside
    ].join('\n'))
    this.instances.push({ name, role, address: role === 'entry' ? address : this.startRelay(name, address), dataCentre, state: 'live' })
    return { name, address, adminUrl: `http://${admin}`, url: `http://${other}` }
  }

  private startRelay (name: string, address: string): string {
    if (!this.options.hasRelays) return address
    const port = this.takePort()
    this.relays.set(name, new Relay({ host, port }, { host, port: Number(address.split(':')[1]) }))
    return `${host}:${port}`
  }

  private createDocument (): ConfigDocument {
    const document: ConfigDocument = {
      teams: {
        bramble: { class: 'paying', weight: 1, keyDigests: [computeDigest(demoKey)] },
        thistle: { class: 'paying', weight: 1, keyDigests: [computeDigest(rivalKey)] }
      },
      models: { [demoModel]: { layers: this.layers } },
      endpoints: {},
      services: { bookings: { idempotentMethods: ['GET', 'HEAD'], keyRanges: 8 } },
      links: []
    }
    for (const [index, sidecar] of this.sidecars.entries()) {
      const [firstLayer, lastLayer] = this.options.stages[Math.floor(index / this.options.copies)] as readonly [number, number]
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
