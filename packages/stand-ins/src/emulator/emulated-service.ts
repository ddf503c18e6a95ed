/**
 * A plain service of the platform as a stand-in: a few places, signed answers, and answers that go wrong.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { computeBody, readCall, refuse, Spoiling } from './emulated-call.js'
import type { EmulatedCall } from './emulated-call.js'
import type { EmulatedStore } from './emulated-store.js'

const workMs = 10
const misdirected = 421

/** One endpoint of a plain service. */
export class EmulatedService {
  /** How the next answers are spoiled, first first. */
  readonly spoilings: Spoiling[] = []
  /** Identities of the calls that have run, one entry for each run. */
  readonly runs: string[] = []
  private readonly server: Server = createServer((request, response) => { void this.handle(request, response) })
  private running = 0

  constructor (
    readonly id: string,
    readonly service: string,
    readonly host: string,
    readonly port: number,
    readonly dataCentre: string,
    private readonly store: EmulatedStore,
    /** Host at which it listens, if a relay stands before it at {@link host}. */
    private readonly hiddenHost = host,
    private readonly slots = 6
  ) {}

  /** Listens and enters itself into the list. */
  async start (): Promise<void> {
    await new Promise<void>((resolve) => { this.server.listen(this.port, this.hiddenHost, resolve) })
    this.writeEntry('ready')
  }

  /** Writes the entry of the list. */
  writeEntry (phase: string): void {
    this.store.write('servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.dataCentre,
      version: 'v1',
      slots: this.slots,
      phase,
      coldLeftMs: 0,
      sequence: 0,
      born: 1
    })
  }

  /** Ends as a crash does: connections are reset, the entry stays. */
  crash (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = await readCall(request)
    if (call.expectedEndpoint !== undefined && call.expectedEndpoint !== this.id) {
      refuse(response, call, misdirected, { 'Instance-Id': this.id })
      return
    }
    const spoiling = this.spoilings.shift() ?? Spoiling.none
    if (spoiling === Spoiling.full) {
      refuse(response, call, 503)
      return
    }
    this.runs.push(call.id)
    this.running++
    await wait(workMs)
    this.running--
    this.answer(call, response, spoiling)
  }

  private answer (call: EmulatedCall, response: ServerResponse, spoiling: Spoiling): void {
    const body = computeBody(call)
    const headers = { 'Attempt-Id': call.id, 'Server-Signature': this.id, 'Server-Load': `${this.running},0,${this.slots}` }
    const { socket } = response
    if (spoiling === Spoiling.hang) return
    if (spoiling === Spoiling.lostAnswer) socket?.resetAndDestroy()
    else if (spoiling === Spoiling.failure) {
      response.writeHead(500, { ...headers, 'content-length': 6 })
      response.end('failed')
    } else if (spoiling === Spoiling.crossed) {
      response.writeHead(200, { ...headers, 'Attempt-Id': 'another-call', 'content-length': 5 })
      response.end('other')
    } else if (spoiling === Spoiling.shortBody) {
      response.writeHead(200, { ...headers, 'content-length': body.length })
      response.write(body.slice(0, 10), () => { socket?.destroy() })
    } else if (spoiling === Spoiling.unframedReset) {
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
      socket?.write(`HTTP/1.1 200 OK\r\n${lines}Connection: close\r\n\r\n${body.slice(0, 10)}`, () => {
        setTimeout(() => { socket.resetAndDestroy() }, workMs)
      })
    } else {
      response.writeHead(200, { ...headers, 'content-length': body.length })
      response.end(body)
      if (spoiling === Spoiling.extraAnswer) socket?.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${call.id}\r\nContent-Length: 3\r\n\r\nbad`)
    }
  }
}
