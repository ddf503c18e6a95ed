/**
 * Emulates the model endpoints of the platform: they hold layers, run streams along a path of endpoints, execute orders
 * to load layers or change a path, and report their state.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { computeEvent, CrashTriggers, readCall, refuse } from './emulated-call.js'
import type { EmulatedCall } from './emulated-call.js'
import type { EmulatedStore } from './emulated-store.js'

/** Shape of the emulated model. */
export const emulatedModel = { layers: 12, layerMb: 100, tokenBytes: 12_000, loadMs: 600, eventIntervalMs: 15, events: 20 } as const

const misdirectedStatus = 421
/** Time after which a stream is closed whose path contains an unavailable part, in milliseconds. */
const stallTimeoutMs = 2500

interface PathPart {
  address: string
  from: number
  to: number
}

interface RunningStream {
  call: EmulatedCall
  parts: PathPart[]
  stalledSinceMs: number | undefined
  response: ServerResponse
  /** Position of the last event sent; the first is 1. */
  position: number
}

const parsePath = (text: string): PathPart[] => text.split(',').map((entry) => {
  const [, address = '', from, to] = /^([\d.:]+)=(\d+)-(\d+)$/.exec(entry) ?? []
  return { address, from: Number(from), to: Number(to) }
})

const isCompletePath = (parts: readonly PathPart[]): boolean => {
  let nextLayer = 0
  for (const { from, to } of parts) {
    if (from !== nextLayer) return false
    nextLayer = to
  }
  return nextLayer === emulatedModel.layers
}

/** An answer that is no stream. */
export interface ResumeAnswer {
  status: number
  contentType: string
  body: string
}

/** All model endpoints by address, through which an endpoint checks the parts of a path. */
export class EmulatedFleet {
  readonly workers = new Map<string, EmulatedWorker>()
  readonly crashTriggers = new CrashTriggers()
  /** Answer to every stream that is to be resumed, in place of its events. */
  resumeAnswer: ResumeAnswer | undefined
  /** Number of streams that got it. */
  resumeAnswers = 0
  /** Whether streams have neither a length nor chunks and end with their connection. */
  isCloseDelimited = false
  /** Text at the end of the id of each event. */
  eventIdSuffix = ''
  /** Calls that produced an event on a path that does not contain every layer exactly once and in order. */
  readonly invalidPathCallIds: string[] = []

  /** @returns the endpoint that crashes under a call: the first of its path, or the last */
  findCrashing (first: EmulatedWorker, parts: readonly PathPart[]): EmulatedWorker {
    return this.crashTriggers.concernsLastPart ? this.workers.get(parts.at(-1)?.address ?? '') ?? first : first
  }
}

/** One model endpoint. */
export class EmulatedWorker {
  /** Identities of the calls whose execution began here. */
  readonly runs: string[] = []
  /** Layer ranges of the executed load orders. */
  readonly orders: string[] = []
  isSilent = false
  /** Whether it answers requests but sends no events. */
  isEmissionPaused = false
  /** Pause that it asks for with each refusal, in seconds; it refuses all calls while this is set. */
  pauseS: number | undefined
  /** Identities of the calls that it refused for the pause. */
  readonly refused: string[] = []
  /** Time between two events, in milliseconds. */
  eventIntervalMs: number = emulatedModel.eventIntervalMs
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
    /** Host to listen on, if a relay in front of it uses {@link host}. */
    private readonly listenHost = host
  ) {
    fleet.workers.set(this.getAddress(), this)
  }

  /** @returns host and port */
  getAddress (): string {
    return `${this.host}:${this.port}`
  }

  /** @returns identity of the current incarnation */
  getId (): string {
    return `w-${this.host}-${this.incarnation}`
  }

  /** @returns number of streams for which this endpoint is the first part of the path */
  countStreams (): number {
    return this.streams.size
  }

  /** @returns whether it is started, silent or not */
  isStarted (): boolean {
    return this.server !== undefined
  }

  /** @returns whether it is started and answers */
  isAlive (): boolean {
    return this.server !== undefined && !this.isSilent
  }

  /** Starts without layers under a new incarnation, and writes its record to the store. */
  async start (): Promise<void> {
    this.incarnation++
    this.born = Date.now()
    this.sequence = 0
    this.fence = 0
    this.layers = null
    const server = createServer((request, response) => { void this.handle(request, response) })
    await new Promise<void>((resolve) => { server.listen(this.port, this.listenHost, resolve) })
    this.server = server
    this.writeServerRecord('ready')
  }

  /** Writes its record among the servers in the store. */
  writeServerRecord (phase: string): void {
    const { service, dataCentre: zone, type, born, layers } = this
    this.store.write('servers', this.getId(), {
      service, address: this.getAddress(), zone, version: 'v1', slots: 50, phase, coldLeftMs: 0, sequence: this.sequence, born, type, layers
    })
  }

  /** Stops as after a crash: connections are closed, and the record is removed from the store after a delay. */
  crash (removeAfterMs = 1000): void {
    const id = this.getId()
    if (this.fleet.isCloseDelimited) {
      for (const { response } of this.streams.values()) response.socket?.resetAndDestroy()
    }
    this.server?.close()
    this.server?.closeAllConnections()
    this.server = undefined
    this.streams.clear()
    setTimeout(() => { this.store.remove('servers', id) }, removeAfterMs).unref()
  }

  /** Crashes, and starts again after a while. */
  crashAndRestart (): void {
    this.crash()
    this.fleet.crashTriggers.scheduleRestart(async () => { await this.start() })
  }

  /** Resets the connection of each stream right behind a last event, whose position follows that of the stream. */
  cutStreams (): void {
    for (const { response, position, call } of this.streams.values()) {
      const { socket } = response
      socket?.write(computeEvent(call, position + 1, this.fleet.eventIdSuffix), () => { socket.resetAndDestroy() })
    }
    this.streams.clear()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = await readCall(request)
    if (this.isSilent) return
    if (call.target === '/v1/report') this.sendReport(response)
    else if (call.target === '/v1/order') this.handleOrder(JSON.parse(call.body) as Record<string, unknown>, response)
    else this.beginStream(call, response)
  }

  private sendReport (response: ServerResponse): void {
    const { born, layers, sequence, isBusy: busy } = this
    const body = JSON.stringify({
      born, layers, sequence, busy, phaseKind: 'unified', models: [], queued: 0, active: this.streams.size, kvUsed: 0, kvTotal: 1_000_000, sessions: 0
    })
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
    response.end(body)
  }

  private handleOrder (order: Record<string, unknown>, response: ServerResponse): void {
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
    const newLayerCount = to - from - (this.layers === null ? 0 : Math.max(0, Math.min(to, this.layers.to) - Math.max(from, this.layers.from)))
    setTimeout(() => {
      if (this.incarnation !== incarnation) return
      this.isBusy = false
      this.layers = { from, to }
      this.writeServerRecord('ready')
    }, emulatedModel.loadMs * newLayerCount / emulatedModel.layers)
    return 202
  }

  private changePath (order: Record<string, unknown>): number {
    const stream = this.streams.get(String(order['id']))
    if (stream === undefined) return 404
    const parts = parsePath(String(order['path']))
    if (this.findUnavailablePart(parts) !== undefined) return 409
    stream.parts = parts
    stream.stalledSinceMs = undefined
    return 200
  }

  private findUnavailablePart (parts: readonly PathPart[]): PathPart | undefined {
    return parts.find((part) => {
      const worker = this.fleet.workers.get(part.address)
      return worker?.isAlive() !== true || worker.layers === null || worker.layers.from > part.from || worker.layers.to < part.to
    })
  }

  private beginStream (call: EmulatedCall, response: ServerResponse): void {
    const parts = parsePath(String(call.headers['hop-count'] ?? ''))
    const unavailablePart = this.findUnavailablePart(parts)
    if (call.expectedEndpoint !== this.getId()) {
      refuse(response, call, misdirectedStatus, { 'Instance-Id': this.getId() })
    } else if (this.pauseS !== undefined) {
      this.refused.push(call.id)
      refuse(response, call, 503, { 'Retry-After': String(this.pauseS) })
    } else if (unavailablePart !== undefined) {
      refuse(response, call, misdirectedStatus, { 'At-Server': unavailablePart.address })
    } else {
      this.runs.push(call.id)
      const { resumeAnswer } = this.fleet
      if (resumeAnswer !== undefined && call.headers['last-event-id'] !== undefined) {
        this.fleet.resumeAnswers++
        response.writeHead(resumeAnswer.status, { 'Attempt-Id': call.id, 'content-type': resumeAnswer.contentType })
        response.end(resumeAnswer.body)
        return
      }
      const stream: RunningStream = { call, parts, stalledSinceMs: undefined, response, position: Number(call.headers['last-event-id'] ?? 0) }
      this.streams.set(call.id, stream)
      this.sendEvents(stream, response)
    }
  }

  private sendEvents (stream: RunningStream, response: ServerResponse): void {
    const { call } = stream
    if (this.fleet.isCloseDelimited) {
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
    }
    response.writeHead(200, { 'Attempt-Id': call.id, 'Server-Signature': this.getId(), 'content-type': 'text/event-stream' })
    const timer = setInterval(() => {
      if (this.streams.get(call.id) !== stream || response.destroyed) {
        clearInterval(timer)
        this.streams.delete(call.id)
        return
      }
      if (this.isSilent || this.isEmissionPaused || this.isStalled(stream, response)) return
      if (this.fleet.crashTriggers.isTriggeredBy(call)) {
        this.fleet.findCrashing(this, stream.parts).crashAndRestart()
        return
      }
      if (!isCompletePath(stream.parts)) this.fleet.invalidPathCallIds.push(call.id)
      stream.position++
      response.write(computeEvent(call, stream.position, this.fleet.eventIdSuffix))
      if (stream.position < emulatedModel.events) return
      clearInterval(timer)
      this.streams.delete(call.id)
      response.end()
    }, this.eventIntervalMs)
  }

  private isStalled (stream: RunningStream, response: ServerResponse): boolean {
    if (this.findUnavailablePart(stream.parts) === undefined) return false
    stream.stalledSinceMs ??= Date.now()
    if (Date.now() - stream.stalledSinceMs > stallTimeoutMs) {
      this.streams.delete(stream.call.id)
      response.destroy()
    }
    return true
  }
}
