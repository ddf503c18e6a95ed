/**
 * Emulates the endpoints of a plain service of the platform: a few slots, signed answers, and faulty answers on request.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { computeBody, readCall, refuse, AnswerFault } from './emulated-call.js'
import type { CrashTriggers, EmulatedCall } from './emulated-call.js'
import type { EmulatedStore } from './emulated-store.js'

const processingMs = 10
const misdirectedStatus = 421
/** Chunks of one byte, and one of 8,000 bytes, as they are on the wire. */
const smallChunks = Buffer.from('1\r\nx\r\n'.repeat(2000))
const largeChunk = Buffer.from(`1f40\r\n${'x'.repeat(8000)}\r\n`)

/** One endpoint of a plain service. Executes each accepted call once and records it. */
export class EmulatedService {
  /** Faults of the next answers, in order; one is consumed by each call. */
  readonly answerFaults: AnswerFault[] = []
  /** Identities of the executed calls, one element for each execution. */
  readonly runs: string[] = []
  /** Connections on which each call arrived, by identity of the call; one element for each arrival. */
  readonly connections = new Map<string, Socket[]>()
  private readonly server: Server = createServer((request, response) => { void this.handle(request, response) })
  /** Number of next answers whose head breaks off in the middle. */
  cutHeads = 0
  /** Returns the time that a call takes, by its target, in milliseconds. */
  getProcessingMs: (target: string) => number = () => processingMs
  /** Pause that it asks for with each refusal, in seconds; it refuses all calls while this is set. */
  pauseS: number | undefined
  /** Changes the head of each answer before it is sent, as latin1 text. */
  spoilHead: ((head: string) => string) | undefined
  /** Whether each answer says that the endpoint is leaving. */
  announcesLeaving = false
  private running = 0
  private born = 1

  constructor (
    readonly id: string,
    readonly service: string,
    readonly host: string,
    readonly port: number,
    readonly dataCentre: string,
    private readonly store: EmulatedStore,
    private readonly crashTriggers: CrashTriggers,
    /** Host to listen on, if a relay in front of it uses {@link host}. */
    private readonly listenHost = host,
    private readonly slots = 6
  ) {}

  /** Listens and writes its record to the store. */
  async start (): Promise<void> {
    await new Promise<void>((resolve) => { this.server.listen(this.port, this.listenHost, resolve) })
    this.writeServerRecord('ready')
  }

  /** Writes its record among the servers in the store. */
  writeServerRecord (phase: string): void {
    this.store.write('servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.dataCentre,
      version: 'v1',
      slots: this.slots,
      phase,
      coldLeftMs: 0,
      sequence: 0,
      born: this.born
    })
  }

  /** Stops as after a crash: connections are closed, and the record stays in the store. */
  crash (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Continues as a new incarnation with the same identity. */
  restartAsNew (): void {
    this.born = Date.now()
    this.writeServerRecord('ready')
  }

  private crashAndRestart (): void {
    this.crash()
    this.crashTriggers.scheduleRestart(async () => {
      this.born = Date.now()
      await this.start()
    })
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = await readCall(request)
    this.connections.set(call.id, [...this.connections.get(call.id) ?? [], request.socket])
    if (call.expectedEndpoint !== undefined && call.expectedEndpoint !== this.id) {
      refuse(response, call, misdirectedStatus, { 'Instance-Id': this.id })
      return
    }
    if (this.pauseS !== undefined) {
      refuse(response, call, 503, { 'Retry-After': String(this.pauseS) })
      return
    }
    const answerFault = this.answerFaults.shift() ?? AnswerFault.none
    if (answerFault === AnswerFault.full) {
      refuse(response, call, 503)
      return
    }
    if (answerFault === AnswerFault.endlessHead) {
      this.writeWithoutEnd(request.socket, 'HTTP/1.1 200 OK\r\n', 'x-filler: 0123456789\r\n')
      return
    }
    if (answerFault === AnswerFault.endlessFailure) {
      this.writeWithoutEnd(request.socket, `HTTP/1.1 500 Failed\r\nAttempt-Id: ${call.id}\r\n\r\n`, 'x'.repeat(20))
      return
    }
    if (answerFault === AnswerFault.endlessBody || answerFault === AnswerFault.endlessLargeBody) {
      this.streamWithoutEnd(call, request.socket, answerFault === AnswerFault.endlessBody ? smallChunks : largeChunk)
      return
    }
    this.runs.push(call.id)
    this.running++
    await wait(this.getProcessingMs(call.target))
    this.running--
    if (this.crashTriggers.isTriggeredBy(call)) {
      this.crashAndRestart()
      return
    }
    this.answer(call, response, answerFault)
  }

  /** Writes bytes until the caller closes the connection. */
  private writeWithoutEnd (socket: Socket, begin: string, piece: string): void {
    socket.write(begin)
    const timer = setInterval(() => { socket.write(piece) }, 1)
    socket.on('close', () => { clearInterval(timer) })
  }

  /** Writes chunks as fast as the caller reads them, until it closes the connection. */
  private streamWithoutEnd (call: EmulatedCall, socket: Socket, chunks: Buffer): void {
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${call.id}\r\nServer-Signature: ${this.id}\r\nTransfer-Encoding: chunked\r\n\r\n`)
    const writeChunks = (): void => {
      if (!socket.destroyed) socket.write(chunks, () => { setImmediate(writeChunks) })
    }
    writeChunks()
  }

  private answer (call: EmulatedCall, response: ServerResponse, answerFault: AnswerFault): void {
    const body = computeBody(call)
    const headers = {
      'Attempt-Id': call.id,
      [answerFault === AnswerFault.unsigned ? 'Server-Signaturf' : 'Server-Signature']: this.id,
      'Server-Load': `${this.running},0,${this.slots}`,
      ...(this.announcesLeaving ? { 'Server-Leaving': '1' } : {})
    }
    const { socket } = response
    if (this.cutHeads > 0) {
      this.cutHeads--
      socket?.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${call.id}\r\nServer-Signature: ${this.id}\r\nContent-Le`)
      return
    }
    if (this.spoilHead !== undefined) {
      const lines = Object.entries({ ...headers, 'content-length': body.length }).map(([name, value]) => `${name}: ${value}\r\n`)
      socket?.end(this.spoilHead(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`) + body, 'latin1')
      return
    }
    if (answerFault === AnswerFault.hang) return
    if (answerFault === AnswerFault.lostAnswer) socket?.resetAndDestroy()
    else if (answerFault === AnswerFault.failure) {
      response.writeHead(500, { ...headers, 'content-length': 6 })
      response.end('failed')
    } else if (answerFault === AnswerFault.crossed) {
      response.writeHead(200, { ...headers, 'Attempt-Id': 'another-call', 'content-length': 5 })
      response.end('other')
    } else if (answerFault === AnswerFault.shortBody) {
      response.writeHead(200, { ...headers, 'content-length': body.length })
      response.write(body.slice(0, 10), () => { socket?.destroy() })
    } else if (answerFault === AnswerFault.unframedReset || answerFault === AnswerFault.unframedResetAtOnce) {
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
      socket?.write(`HTTP/1.1 200 OK\r\n${lines}Connection: close\r\n\r\n${body.slice(0, 10)}`, () => {
        if (answerFault === AnswerFault.unframedResetAtOnce) socket.resetAndDestroy()
        else setTimeout(() => { socket.resetAndDestroy() }, processingMs)
      })
    } else {
      response.writeHead(200, { ...headers, 'content-length': body.length })
      response.end(body)
      if (answerFault === AnswerFault.extraAnswer) socket?.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${call.id}\r\nContent-Length: 3\r\n\r\nbad`)
    }
  }
}
