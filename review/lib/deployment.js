/**
 * A small deployment on loopback addresses: the store and the endpoints as stand-ins in this process, entries and sidecars
 * as separate processes, started with the commands of the deploy file. Each machine has an address of its own.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { EmulatedStore } from '../../packages/stand-ins/dist/emulator/emulated-store.js'
import { EmulatedFleet, EmulatedWorker, emulatedModel } from '../../packages/stand-ins/dist/emulator/emulated-worker.js'
import { ServiceWorker } from './service-worker.js'
import { Relay } from './relay.js'
import { StoreLink } from './store-link.js'

const root = join(dirname(fileURLToPath(import.meta.url)), '../..')
const readyTimeoutMs = 40_000
const pollMs = 50
/** Time after which the platform starts a process again that has ended, in milliseconds. */
const restartDelayMs = 500

/** Time between two looks at the memory of a process, in milliseconds. */
const memoryCheckMs = 50

/** Bounds of the sheet of pawsloft-prairie. */
export const bounds = { contactMs: 3000, drainMs: 2000, graceS: 8, entryMemoryMb: 272 }

/** @returns number of ports that are free at present */
const findFreePorts = async (count) => {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => { resolve(server) })
  })))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return ports
}

/** @returns program and arguments of a role in the deploy file */
const readCommand = (role) => {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1] ?? ''
  const [, command] = /^run = "([^"]+)"/m.exec(section) ?? []
  if (command === undefined) throw new Error(`the deploy file has no command for role ${role}`)
  const [program, ...args] = command.split(' ')
  return [program === 'node' ? process.execPath : program, ...args]
}

/** A system with its platform. */
export class Deployment {
  /**
   * @param record - record of the run
   * @param routes - routes of the configuration, each with at least `name`, `pathPrefix`, `type` and `service`
   * @param services - names of the services; `model` is served by model endpoints
   */
  constructor (record, routes, services) {
    Object.assign(this, { record, routes, services })
    this.network = `127.${60 + Math.floor(Math.random() * 120)}`
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    this.store = new EmulatedStore()
    this.fleet = new EmulatedFleet()
    this.host = 'calls.example'
    this.key = 'key-prairie'
    this.workers = []
    this.models = []
    /** Relays in front of the model endpoints. */
    this.relays = []
    /** Entries and sidecars: name, address, process, and whether the platform keeps it running. */
    this.processes = []
    this.version = 0
  }

  /** Prepares the store and its configuration. */
  async begin () {
    const [store, callers, readiness, reports, , metrics, endpoint] = await findFreePorts(7)
    this.ports = { store, callers, readiness, reports, metrics, endpoint }
    await this.store.listen(`${this.network}.9.1`, store)
    this.writeConfig()
  }

  /** Writes the next version of the configuration. */
  writeConfig () {
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
      types: [{ name: 'large', sizeMb: 1400, pace: 1, readFactor: 1 }, { name: 'half', sizeMb: 800, pace: 1, readFactor: 1 }]
    }
    this.store.write('config', 'main', {
      version: this.version,
      routes: this.routes.map((route) => ({ host: this.host, timeoutMs: 1500, sloMs: 120, priority: 1, maxAttempts: 2, public: false, sticky: false, ...route })),
      services: this.services.map((name) => ({ name, healthPath: '/healthz', ...(name === 'model' ? { engine } : {}) })),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
      tenants: [{ name: 'prairie', apiKeys: [this.key], priority: 1 }]
    })
  }

  /** Adds endpoints of a plain service. */
  async addWorkers (service, count, options = {}) {
    for (let index = 1; index <= count; index++) {
      const number = this.workers.length + 1
      const worker = new ServiceWorker({
        id: `i-${service}-${number}`, service, host: `${this.network}.3.${number}`, port: this.ports.endpoint, zone: 'zone-a', store: this.store, record: this.record, ...options
      })
      this.workers.push(worker)
      await worker.start()
    }
  }

  /** Adds model endpoints, each with its sidecar and a relay in front of it: `large` holds the model, `half` about half of it. */
  async addModels (count, type = 'large') {
    for (let index = 1; index <= count; index++) {
      const host = `${this.network}.2.${index}`
      const listenHost = `${this.network}.4.${index}`
      const worker = new EmulatedWorker(this.fleet, this.store, 'model', host, this.ports.endpoint, 'zone-a', type, listenHost)
      this.models.push(worker)
      await worker.start()
      const relay = new Relay({ host: listenHost, port: this.ports.endpoint })
      this.relays.push(relay)
      await relay.listen(host, this.ports.endpoint)
      await this.addProcess('sidecar', `sidecar-${index}`, host, worker.getAddress())
    }
  }

  /** Adds an entry. @returns its record among the processes */
  async addEntry () {
    const number = this.processes.filter(({ role }) => role === 'entry').length + 1
    return await this.addProcess('entry', `entry-${number}`, `${this.network}.1.${number}`)
  }

  /** Waits until the entries are ready and the model endpoints hold layers. */
  async waitUntilReady () {
    const untilMs = performance.now() + readyTimeoutMs
    for (;;) {
      const entries = this.processes.filter(({ role }) => role === 'entry')
      const ready = await Promise.all(entries.map((entry) => this.isReady(entry)))
      if (ready.every(Boolean) && this.models.every(({ layers }) => layers !== null)) return
      if (performance.now() > untilMs) throw new Error(`the system was not ready within ${readyTimeoutMs} ms`)
      await wait(pollMs)
    }
  }

  async isReady (entry) {
    return await fetch(`http://${entry.host}:${this.ports.readiness}/v1/readyz`).then(({ status }) => status === 200, () => false)
  }

  /** @returns address at which an entry serves callers */
  getAddress (entry) {
    return `${entry.host}:${this.ports.callers}`
  }

  /** Sends a signal to a process. */
  signal (machine, signal) {
    this.record.add(`${machine.name}: ${signal}`)
    machine.process.kill(signal)
  }

  /** Kills an entry that exceeds the memory of its machine, as the platform does. */
  limitMemory (entry) {
    this.memoryTimers ??= []
    entry.peakMb = 0
    this.memoryTimers.push(setInterval(() => {
      const residentMb = this.readMemory(entry)
      entry.peakMb = Math.max(entry.peakMb, residentMb)
      if (residentMb <= bounds.entryMemoryMb || entry.process.signalCode !== null || entry.process.exitCode !== null) return
      this.record.add(`${entry.name} holds ${residentMb.toFixed(0)} MB, above its limit of ${bounds.entryMemoryMb} MB`)
      this.signal(entry, 'SIGKILL')
    }, memoryCheckMs))
  }

  /** @returns resident memory of a process, in megabytes; 0 if it does not run */
  readMemory ({ process: { pid } }) {
    try {
      return Number(/^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) * 1024 / 1e6
    } catch {
      return 0
    }
  }

  /** Kills all processes that run. */
  killProcesses () {
    this.isEnding = true
    for (const machine of this.processes) {
      if (machine.process.exitCode === null && machine.process.signalCode === null) machine.process.kill('SIGKILL')
    }
  }

  /** Ends all processes and stand-ins. */
  async end () {
    this.killProcesses()
    for (const timer of this.memoryTimers ?? []) clearInterval(timer)
    this.store.stop()
    for (const worker of this.workers) worker.exit()
    for (const model of this.models) model.crash(0)
    for (const relay of this.relays) relay.close()
    for (const { link } of this.processes) link.close()
    await wait(pollMs)
    rmSync(this.folder, { recursive: true, force: true })
  }

  async addProcess (role, name, host, endpoint) {
    const link = new StoreLink(`${this.network}.9.1`, this.ports.store)
    const number = this.processes.length + 1
    await link.listen(`${this.network}.8.${number}`, this.ports.store)
    const settings = join(this.folder, `${name}.toml`)
    writeFileSync(settings, this.createSettings(role, name, host, `${this.network}.8.${number}:${this.ports.store}`, endpoint))
    const machine = { role, name, host, link, settings, log: join(this.folder, `${name}.log`), exits: [] }
    this.processes.push(machine)
    this.startProcess(machine)
    return machine
  }

  startProcess (machine) {
    const output = openSync(machine.log, 'a')
    const [program, ...args] = readCommand(machine.role)
    machine.process = spawn(program, args, {
      cwd: root, stdio: ['ignore', output, output], env: { PATH: process.env.PATH, HOME: process.env.HOME, CLEMENTINELOFT_CONFIG: machine.settings }
    })
    this.record.add(`${machine.name}: started`)
    machine.process.once('exit', (code, signal) => {
      if (this.isEnding) return
      machine.exits.push({ code, signal, atMs: this.record.now() })
      this.record.add(`${machine.name}: ended with ${signal ?? `code ${code}`}`)
      const lines = readFileSync(machine.log, 'utf8').split('\n').filter((line) => /Error|throw/.test(line)).slice(-3)
      if (code !== 0) for (const line of lines) this.record.add(`${machine.name}: ${line.trim().slice(0, 160)}`)
      setTimeout(() => { if (!this.isEnding) this.startProcess(machine) }, restartDelayMs)
    })
  }

  createSettings (role, name, host, store, endpoint) {
    const { callers, readiness, reports, metrics } = this.ports
    const lines = [
      `role = "${role}"`,
      '[instance]', `name = "${name}"`, 'data_centre = "zone-a"', `metrics_address = "${host}:${metrics}"`, `reports_address = "${host}:${reports}"`,
      '[platform]', `store_address = "${store}"`, 'heartbeat_ms = 1200',
      '[shutdown]', `grace_ms = ${bounds.graceS}e3`,
      '[retries]', 'window_ms = 10e3', 'ratio = 0.2', 'extra = 396'
    ]
    if (role === 'entry') lines.push('[callers]', `address = "${host}:${callers}"`, `readiness_address = "${host}:${readiness}"`)
    else lines.push('[endpoint]', `address = "${endpoint}"`, 'service = "model"')
    return lines.join('\n') + '\n'
  }
}
