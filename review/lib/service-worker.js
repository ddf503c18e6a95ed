/**
 * Endpoint of a plain service: runs calls in slots with a short queue, refuses what it does not run with `Not-Executed`,
 * and signs its answers. A fault changes single answers.
 */
import { createServer } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { computeBody, readCall } from '../../packages/stand-ins/dist/emulator/emulated-call.js'

const bodyBytes = 800
const queueLimit = 24
/** Rate of an answer without end: 75 Mbit/s, of which six slots send less than the 490 Mbit/s of a machine's link. */
const endlessBytesPerMs = 9375
const endlessIntervalMs = 4

/** @returns the body with which every sound endpoint answers a call */
export const computeAnswer = (call) => {
  const digest = computeBody(call)
  return digest.repeat(Math.ceil(bodyBytes / digest.length)).slice(0, bodyBytes)
}

/** One endpoint. */
export class ServiceWorker {
  /**
   * @param options - `id`, `service`, `host`, `port`, `zone`, `store`, `record`; optionally `slots` and `processingMs`
   */
  constructor ({ id, service, host, port, zone, store, record, slots = 6, processingMs = 20 }) {
    Object.assign(this, { id, service, host, port, zone, store, record, slots, processingMs })
    this.born = Date.now()
    /** Executions: identity of the call and time in milliseconds. */
    this.runs = []
    /** Arrivals of calls that name this endpoint, run or refused: identity and time in milliseconds. */
    this.arrivals = []
    this.running = 0
    this.waiting = []
    /** Further headers of every answer. */
    this.extraHeaders = {}
    /** Returns a fault of the answer to a call, or `undefined`: `{ refuse }`, `{ status }`, `{ breakOff }`, `{ unit }` or `{ spoil }`. */
    this.findFault = () => undefined
    this.server = createServer((request, response) => this.handle(request, response))
    this.server.keepAliveTimeout = 30_000
  }

  /** Listens and registers in the store. */
  async start () {
    await new Promise((resolve) => { this.server.listen(this.port, this.host, resolve) })
    this.register('ready')
  }

  /** Writes its entry into the store. */
  register (phase) {
    const { service, host, port, zone, slots, born } = this
    this.store.write('servers', this.id, { service, address: `${host}:${port}`, zone, version: 'v1', slots, phase, coldLeftMs: 0, sequence: 0, born })
  }

  /** Ends as a process that exits: it accepts nothing more, and its connections close. */
  exit () {
    this.hasEnded = true
    this.server.close()
    this.server.closeAllConnections()
  }

  async handle (request, response) {
    const call = await readCall(request)
    if (call.expectedEndpoint !== undefined && call.expectedEndpoint !== this.id) {
      this.refuse(call, response, 421)
      return
    }
    this.arrivals.push({ id: call.id, atMs: this.record.now() })
    const fault = this.findFault(call)
    if (fault?.refuse !== undefined) {
      this.refuse(call, response, 503, fault.refuse)
      return
    }
    if (this.running >= this.slots && this.waiting.length >= queueLimit) {
      this.refuse(call, response, 503)
      return
    }
    if (this.running >= this.slots) await new Promise((resolve) => { this.waiting.push(resolve) })
    else this.running++
    if (!response.destroyed) await this.run(call, response, fault)
    const next = this.waiting.shift()
    if (next === undefined) this.running--
    else next()
  }

  async run (call, response, fault) {
    this.runs.push({ id: call.id, atMs: this.record.now() })
    await wait(this.processingMs)
    if (this.hasEnded || response.destroyed) return
    const headers = this.createHeaders(call)
    if (fault?.status !== undefined) {
      response.writeHead(fault.status, { ...headers, 'Content-Length': 6 })
      response.end('failed')
      return
    }
    const body = computeAnswer(call)
    if (fault?.unit !== undefined) {
      await this.sendWithoutEnd(response, headers, fault.unit)
      return
    }
    if (fault?.breakOff === true) {
      this.breakOff(response, headers, body)
      return
    }
    if (fault?.spoil === undefined) {
      response.writeHead(200, { ...headers, 'Content-Length': body.length })
      response.end(body)
      return
    }
    const lines = Object.entries({ ...headers, 'Content-Length': body.length }).map(([name, value]) => `${name}: ${value}\r\n`)
    const head = `HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`
    response.socket.end(fault.spoil(head) + body, 'latin1')
  }

  /** Sends an answer in chunks whose body goes on until the caller closes the connection, at a limited rate. It holds its slot. */
  async sendWithoutEnd (response, headers, unit) {
    const { socket } = response
    const lines = Object.entries({ ...headers, 'Transfer-Encoding': 'chunked' }).map(([name, value]) => `${name}: ${value}\r\n`)
    const block = unit.repeat(Math.ceil(endlessBytesPerMs * endlessIntervalMs / unit.length))
    socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`)
    const timer = setInterval(() => {
      if (socket.writableLength < block.length) socket.write(block, 'latin1')
    }, endlessIntervalMs)
    await new Promise((resolve) => { socket.on('close', resolve) })
    clearInterval(timer)
  }

  /** Sends half of an answer that has neither a length nor chunks, and resets the connection. */
  breakOff (response, headers, body) {
    const lines = Object.entries({ ...headers, Connection: 'close' }).map(([name, value]) => `${name}: ${value}\r\n`)
    const { socket } = response
    socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n${body.slice(0, bodyBytes / 2)}`, () => { socket.resetAndDestroy() })
  }

  refuse (call, response, status, headers = {}) {
    response.writeHead(status, { 'Attempt-Id': call.id, 'Not-Executed': '1', 'Instance-Id': this.id, 'Content-Length': 0, ...this.extraHeaders, ...headers })
    response.end()
  }

  createHeaders (call) {
    return {
      'Attempt-Id': call.id,
      'Server-Signature': `3e1b.07.${this.id}`,
      'Server-Load': `${this.running},${this.waiting.length},${this.slots}`,
      ...this.extraHeaders
    }
  }
}
