/**
 * Runs the project's programs as the deploy file says, on loopback addresses, in front of the stand-ins of this folder.
 */
import { spawn } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { appendFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { sendRequest } from './client.mjs'
import { Store } from './store.mjs'
import { ModelWorker, PlainWorker } from './workers.mjs'

const repository = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const readyTimeoutMs = 30_000

/** Bounds of the small deployments (sheets of Prairie and Riga). */
export const bounds = { contactMs: 3000, drainMs: 2000, configApplyMs: 2000, graceS: 8, budgetWindowS: 10, retryBudgetRatio: 0.2, retryBudgetExtra: 396 }
export const heartbeatMs = 1200
export const host = 'ficu95.example'
export const keys = { first: 'n2ctnfzs989anu6wsjnb', second: 'anfqasnmgkcuyj8pjbvk' }

/** The result of a case that could not run. */
export class NotRunError extends Error {}

const probePort = (address) => new Promise((resolve, reject) => {
  const server = createServer()
  server.on('error', reject)
  server.listen(0, address, () => {
    const { port } = server.address()
    server.close(() => { resolve(port) })
  })
})

const findFreePorts = async (address, count) => {
  const ports = new Set()
  while (ports.size < count) ports.add(await probePort(address))
  return [...ports]
}

/** Fills in the template of the settings: values, sections for present values and sections for absent ones. */
const renderTemplate = (template, fields) => {
  const find = (path) => path.split('.').reduce((value, name) => value?.[name], fields)
  const withSections = template
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, path, text) => find(path) === undefined ? '' : text)
    .replace(/\{\{\^([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, path, text) => find(path) === undefined ? text : '')
  return withSections.replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path) ?? ''))
}

const readRunCommand = (role) => {
  const deployFile = readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8')
  const section = deployFile.split(/^\[/m).find((text) => text.startsWith(`roles.${role}]`)) ?? ''
  const command = /^run = "([^"]+)"/m.exec(section)?.[1]
  if (command === undefined) throw new NotRunError(`the deploy file has no command for role ${role}`)
  return command.split(' ')
}

/** One system: a store, workers, and the processes of the project. */
export class System {
  store = new Store()
  plainWorkers = []
  modelWorkers = []
  entries = []
  /** Shape of the model; replaced before the first configuration is written. */
  model = { layers: 12, layerMb: 100, sizeMb: 1500 }
  limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  teams = [{ name: 'hule930', apiKeys: [keys.first, keys.second], priority: 1 }]
  routes = []
  /** Address at which the processes reach the store, if not its own. */
  storeAddress
  #children = new Map()
  #commands = new Map()
  /** Model workers by address. */
  #fleet = new Map()
  #isStopped = false
  #network = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`
  #hosts = 0
  #version = 0
  #ports
  #folder = mkdtempSync(join(tmpdir(), 'clementineloft-review-'))
  #recordFile

  /** @param folder - folder of the case, for its record */
  constructor (folder) {
    this.#recordFile = join(folder, 'record.txt')
    mkdirSync(folder, { recursive: true })
    writeFileSync(this.#recordFile, '')
  }

  /** Appends a line to the record of the case. */
  record (text) {
    appendFileSync(this.#recordFile, `${new Date().toISOString()} ${text}\n`)
  }

  nextHost () {
    return `${this.#network}.${++this.#hosts}`
  }

  async prepare () {
    const [store, frontend, readiness, endpoint, reports, metrics] = await findFreePorts(this.nextHost(), 6)
    this.#ports = { store, frontend, readiness, endpoint, reports, metrics }
    const storeHost = this.nextHost()
    await this.store.listen(storeHost, store)
    this.storeAddress = `${storeHost}:${store}`
  }

  /** @returns port of the store and of a proxy in front of it */
  getStorePort () {
    return this.#ports.store
  }

  addRoute (fields) {
    this.routes.push({ host, timeoutMs: 1500, sloMs: 100, priority: 1, maxAttempts: 2, public: false, sticky: false, ...fields })
  }

  /** Writes the configuration under a new version. @returns time of the acknowledgement */
  writeConfig () {
    this.#version += 3
    const { layers, layerMb, sizeMb } = this.model
    const engine = {
      slots: 50,
      kvBytes: 12_000,
      step_ms: 1,
      per_seq_ms: 0.01,
      read_per_s: 100_000,
      layers,
      layerMb,
      activationBytes: 1000,
      pipeMbps: 10_000,
      loads_at_once: 5,
      models: [{ name: 'm', loadS: 0.6 }],
      usual: { prompt: 100, answer: 60 },
      types: [{ name: 'l40s', sizeMb, pace: 1, readFactor: 1 }]
    }
    const services = [{ name: 'loft-writers', healthPath: '/healthz', engine }, { name: 'meetup-desk', healthPath: '/healthz' }]
    const { routes, limits, teams: tenants } = this
    const ackMs = this.store.write('config', 'main', structuredClone({ version: this.#version, routes, services, limits, tenants }))
    this.record(`operator: version ${this.#version} of the configuration acknowledged`)
    return ackMs
  }

  /** @returns the workers that were added */
  async addPlainWorkers (count, service = 'meetup-desk', WorkerClass = PlainWorker) {
    const added = []
    for (let index = 0; index < count; index++) {
      const worker = new WorkerClass({ id: `i-${service}-${index + 1}`, service, host: this.nextHost(), port: this.#ports.endpoint, zone: 'prairie-a' })
      await worker.start()
      this.store.startHeartbeats(worker.id, () => worker.createEntry(), heartbeatMs)
      added.push(worker)
    }
    this.plainWorkers.push(...added)
    return added
  }

  /** Starts model workers, each with a sidecar beside it. */
  async addModelWorkers (count) {
    for (let index = 0; index < count; index++) {
      const worker = new ModelWorker({
        id: `i-loft-writers-${index + 1}`,
        service: 'loft-writers',
        host: this.nextHost(),
        port: this.#ports.endpoint,
        zone: 'prairie-a',
        type: 'l40s',
        fleet: this.#fleet,
        handleChange: () => { this.store.write('servers', worker.id, worker.createEntry()) }
      })
      await worker.start()
      this.store.startHeartbeats(worker.id, () => worker.createEntry(), heartbeatMs)
      this.modelWorkers.push(worker)
      this.#start(`sidecar-${index + 1}`, 'sidecar', { ip: worker.host, app: `${worker.host}:${worker.port}`, service: worker.service, limits: { memoryMb: 282, maxFds: 4096 } })
    }
  }

  async addEntries (count) {
    for (let index = 0; index < count; index++) {
      const ip = this.nextHost()
      const { frontend, readiness } = this.#ports
      const entry = { name: `entry-${index + 1}`, host: ip, port: frontend, readinessPort: readiness }
      this.entries.push(entry)
      this.#start(entry.name, 'entry', { ip, listen: { frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}` }, limits: { memoryMb: 272, maxFds: 2069 } })
    }
  }

  /** Waits until all entries are ready and all model workers hold layers. */
  async waitUntilReady () {
    const deadlineMs = Date.now() + readyTimeoutMs
    for (;;) {
      const states = await Promise.all(this.entries.map(({ host: address, readinessPort }) =>
        sendRequest({ address, port: readinessPort, path: '/v1/readyz', headers: {}, timeoutMs: 1000 })))
      if (states.every(({ status }) => status === 200) && this.modelWorkers.every(({ layers }) => layers !== null)) return
      if (Date.now() > deadlineMs) throw new NotRunError('the system was not ready in time')
      await wait(50)
    }
  }

  /** @returns names of processes that have ended by themselves */
  listEnded () {
    return [...this.#children].filter(([, child]) => child.exitCode !== null || child.signalCode !== null).map(([name]) => name)
  }

  signal (name, signal) {
    this.#children.get(name).kill(signal)
  }

  /** @returns resident memory of a process, in MB; 0 if it has ended */
  readMemoryMb (name) {
    try {
      const status = readFileSync(`/proc/${this.#children.get(name).pid}/status`, 'utf8')
      return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) * 1024 / 1e6
    } catch {
      return 0
    }
  }

  /** Kills a process and starts it again after a while, as the platform does. */
  async killAndRestart (name, delayMs) {
    const child = this.#children.get(name)
    const exit = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGKILL')
    await exit
    setTimeout(() => { this.#spawn(name) }, delayMs)
  }

  /** @returns output of a process */
  readLog (name) {
    return readFileSync(join(this.#folder, `${name}.log`), 'utf8')
  }

  killAll () {
    for (const child of this.#children.values()) child.kill('SIGKILL')
  }

  async stop () {
    this.#isStopped = true
    const exits = [...this.#children.values()].filter((child) => child.exitCode === null && child.signalCode === null)
      .map((child) => new Promise((resolve) => { child.once('exit', resolve) }))
    this.killAll()
    await Promise.all(exits)
    this.store.close()
    for (const worker of [...this.plainWorkers, ...this.modelWorkers]) worker.close()
    rmSync(this.#folder, { recursive: true, force: true })
  }

  #start (name, role, machine) {
    const fields = {
      nodeName: name, zone: 'prairie-a', portRange: [this.#ports.reports], heartbeatMs, bounds, platform: { address: this.storeAddress }, ...machine
    }
    const template = readFileSync(join(repository, 'deploy', 'settings.toml'), 'utf8')
    const file = join(this.#folder, `${name}.toml`)
    writeFileSync(file, renderTemplate(template, fields).replace(/:9464"/g, `:${this.#ports.metrics}"`))
    this.#commands.set(name, { command: readRunCommand(role), file })
    this.#spawn(name)
  }

  #spawn (name) {
    if (this.#isStopped) return
    const { command: [program, ...args], file } = this.#commands.get(name)
    const output = openSync(join(this.#folder, `${name}.log`), 'a')
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, CLEMENTINELOFT_CONFIG: file }
    this.#children.set(name, spawn(program === 'node' ? process.execPath : program, args, { cwd: repository, stdio: ['ignore', output, output], env }))
  }
}

/**
 * Runs a case and ends this process: with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 *
 * @param folder - folder of the case
 * @param play - plays the case. @returns whether the rule held
 */
export const runCase = async (folder, play) => {
  const system = new System(folder)
  let code = 2
  process.once('exit', () => { system.killAll() })
  process.once('SIGTERM', () => { process.exit(2) })
  process.once('SIGINT', () => { process.exit(2) })
  try {
    const holds = await Promise.race([
      play(system, process.env.TROUBLE !== '0'),
      wait(115_000, undefined, { ref: false }).then(() => { throw new NotRunError('the case took too long') })
    ])
    code = holds ? 0 : 1
    system.record(holds ? 'result: the rule held' : 'result: the rule was broken')
  } catch (error) {
    system.record(`result: the case could not run: ${error.stack}`)
    process.stderr.write(`${error.stack}\n`)
  }
  await system.stop()
  process.exit(code)
}
