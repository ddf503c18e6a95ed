/**
 * Model endpoints of the platform as a stand-in: they hold layers, forward along paths, take orders and report.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { computeEvent, readCall, refuse } from './emulated-call.js'
import type { EmulatedCall } from './emulated-call.js'
import type { EmulatedStore } from './emulated-store.js'

/** Shape of the emulated model. */
export const emulatedModel = { layers: 12, layerMb: 100, tokenBytes: 12_000, loadMs: 600, eventMs: 15, events: 20 } as const

const misdirected = 421
/** Time for which work through a dead part stands still before it is cut off, in milliseconds. */
const stallMs = 2500

interface Part {
  address: string
  from: number
  to: number
}

interface RunningStream {
  call: EmulatedCall
  parts: Part[]
  stalledSinceMs: number | undefined
}

const parsePath = (text: string): Part[] => text.split(',').map((entry) => {
  const [, address = '', from, to] = /^([\d.:]+)=(\d+)-(\d+)$/.exec(entry) ?? []
  return { address, from: Number(from), to: Number(to) }
})

const isWholeModel = (parts: readonly Part[]): boolean => {
  let nextLayer = 0
  for (const { from, to } of parts) {
    if (from !== nextLayer) return false
    nextLayer = to
  }
  return nextLayer === emulatedModel.layers
}

/** All model endpoints, by address, so that each knows the parts of a path. */
export class EmulatedFleet {
  readonly workers = new Map<string, EmulatedWorker>()
  /** Paths on which a token was made without every layer running once and in order. */
  readonly brokenPaths: string[] = []
}

/** One model endpoint. */
export class EmulatedWorker {
  /** Identities of the calls that have begun to run here. */
  readonly runs: string[] = []
  /** Orders that were carried out. */
  readonly orders: string[] = []
  isSilent = false
  /** Whether it answers but makes no events. */
  isPaused = false
  /** Time between two events, in milliseconds. */
  eventMs: number = emulatedModel.eventMs
  layers: { from: number, to: number } | null = null
  private server: Server | undefined
  private sequence = 0
  private fence = 0
  private isBusy = false
  private born = 1
  private incarnation = 0
  private readonly streams = new Map<string, RunningStream>()

  constructor (
    private readonly fleet: EmulatedFleet,
    private readonly store: EmulatedStore,
    readonly service: string,
    readonly host: string,
    readonly port: number,
    readonly dataCentre: string,
    readonly type: string,
    /** Host at which it listens, if a relay stands before it at {@link host}. */
    private readonly hiddenHost = host
  ) {
    fleet.workers.set(this.getAddress(), this)
  }

  /** @returns host and port */
  getAddress (): string {
    return `${this.host}:${this.port}`
  }

  /** @returns identity of the present start */
  getId (): string {
    return `w-${this.host}-${this.incarnation}`
  }

  /** @returns number of streams that run here as the first part of their path */
  countStreams (): number {
    return this.streams.size
  }

  /** @returns whether it runs, be it silent or not */
  isStarted (): boolean {
    return this.server !== undefined
  }

  /** @returns whether it answers */
  isAlive (): boolean {
    return this.server !== undefined && !this.isSilent
  }

  /** Starts empty, and enters itself into the list. */
  async start (): Promise<void> {
    this.incarnation++
    this.born = Date.now()
    this.sequence = 0
    this.fence = 0
    this.layers = null
    const server = createServer((request, response) => { void this.handle(request, response) })
    await new Promise<void>((resolve) => { server.listen(this.port, this.hiddenHost, resolve) })
    this.server = server
    this.writeEntry('ready')
  }

  /** Writes the entry of the list. */
  writeEntry (phase: string): void {
    const { service, dataCentre: zone, type, born, layers } = this
    this.store.write('servers', this.getId(), {
      service, address: this.getAddress(), zone, version: 'v1', slots: 50, phase, coldLeftMs: 0, sequence: this.sequence, born, type, layers
    })
  }

  /** Ends at once: connections are reset, and the entry is removed later. */
  crash (removeAfterMs = 1000): void {
    const id = this.getId()
    this.server?.close()
    this.server?.closeAllConnections()
    this.server = undefined
    this.streams.clear()
    setTimeout(() => { this.store.remove('servers', id) }, removeAfterMs).unref()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = await readCall(request)
    if (this.isSilent) return
    if (call.target === '/v1/report') this.sendReport(response)
    else if (call.target === '/v1/order') this.takeOrder(JSON.parse(call.body) as Record<string, unknown>, response)
    else this.begin(call, response)
  }

  private sendReport (response: ServerResponse): void {
    const { born, layers, sequence, isBusy: busy } = this
    const body = JSON.stringify({
      born, layers, sequence, busy, phaseKind: 'unified', models: [], queued: 0, active: this.streams.size, kvUsed: 0, kvTotal: 1_000_000, sessions: 0
    })
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
    response.end(body)
  }

  private takeOrder (order: Record<string, unknown>, response: ServerResponse): void {
    const status = order['operation'] === 'repath' ? this.changePath(order) : this.loadLayers(order)
    response.writeHead(status, { 'content-length': 2, 'content-type': 'application/json' })
    response.end('{}')
  }

  private loadLayers (order: Record<string, unknown>): number {
    const { from, to, fencingToken, precondition } = order as { from: number, to: number, fencingToken?: number, precondition?: number }
    if (fencingToken !== undefined && fencingToken < this.fence) return 412
    this.fence = Math.max(this.fence, fencingToken ?? 0)
    if (this.isBusy || (precondition !== undefined && precondition !== this.sequence)) return 409
    if (this.layers?.from === from && this.layers.to === to) return 200
    this.sequence++
    this.isBusy = true
    this.orders.push(`${from}-${to}`)
    const { incarnation } = this
    const newLayers = to - from - (this.layers === null ? 0 : Math.max(0, Math.min(to, this.layers.to) - Math.max(from, this.layers.from)))
    setTimeout(() => {
      if (this.incarnation !== incarnation) return
      this.isBusy = false
      this.layers = { from, to }
      this.writeEntry('ready')
    }, emulatedModel.loadMs * newLayers / emulatedModel.layers)
    return 202
  }

  private changePath (order: Record<string, unknown>): number {
    const stream = this.streams.get(String(order['id']))
    if (stream === undefined) return 404
    const parts = parsePath(String(order['path']))
    if (this.findMissing(parts) !== undefined) return 409
    stream.parts = parts
    stream.stalledSinceMs = undefined
    return 200
  }

  private findMissing (parts: readonly Part[]): Part | undefined {
    return parts.find((part) => {
      const worker = this.fleet.workers.get(part.address)
      return worker?.isAlive() !== true || worker.layers === null || worker.layers.from > part.from || worker.layers.to < part.to
    })
  }

  private begin (call: EmulatedCall, response: ServerResponse): void {
    const parts = parsePath(String(call.headers['hop-count'] ?? ''))
    const missing = this.findMissing(parts)
    if (call.expectedEndpoint !== this.getId()) {
      refuse(response, call, misdirected, { 'Instance-Id': this.getId() })
    } else if (missing !== undefined) {
      refuse(response, call, misdirected, { 'At-Server': missing.address })
    } else {
      this.runs.push(call.id)
      const stream: RunningStream = { call, parts, stalledSinceMs: undefined }
      this.streams.set(call.id, stream)
      this.sendEvents(stream, response)
    }
  }

  private sendEvents (stream: RunningStream, response: ServerResponse): void {
    const { call } = stream
    let position = Number(call.headers['last-event-id'] ?? 0)
    response.writeHead(200, { 'Attempt-Id': call.id, 'Server-Signature': this.getId(), 'content-type': 'text/event-stream' })
    const timer = setInterval(() => {
      if (this.streams.get(call.id) !== stream || response.destroyed) {
        clearInterval(timer)
        this.streams.delete(call.id)
        return
      }
      if (this.isSilent || this.isPaused || this.isStalled(stream, response)) return
      if (!isWholeModel(stream.parts)) this.fleet.brokenPaths.push(call.id)
      position++
      response.write(computeEvent(call, position))
      if (position < emulatedModel.events) return
      clearInterval(timer)
      this.streams.delete(call.id)
      response.end()
    }, this.eventMs)
  }

  private isStalled (stream: RunningStream, response: ServerResponse): boolean {
    if (this.findMissing(stream.parts) === undefined) return false
    stream.stalledSinceMs ??= Date.now()
    if (Date.now() - stream.stalledSinceMs > stallMs) {
      this.streams.delete(stream.call.id)
      response.destroy()
    }
    return true
  }
}
