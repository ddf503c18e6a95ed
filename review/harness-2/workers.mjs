/**
 * Stand-ins of the workers, as PROTOCOL.md describes them: plain services, and model workers that hold layers.
 */
import { createServer } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'

const readBody = async (request) => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

const listen = (server, host, port) => new Promise((resolve) => { server.listen(port, host, resolve) })

/** A worker of a plain service. */
export class PlainWorker {
  /** Requests that arrived: id, time and address of the sender. */
  arrivals = []
  /** Requests that ran: id and time. */
  runs = []
  workMs = 15
  /** Returns how the worker treats a request instead of serving it; `undefined` to serve it. */
  intercept = () => undefined
  born = Date.now()
  /** Whether it leaves, and says so in all its answers. */
  isLeaving = false
  #server = createServer((request, response) => this.#handle(request, response))

  constructor ({ id, service, host, port, zone, slots = 6 }) {
    Object.assign(this, { id, service, host, port, zone, slots })
  }

  async start () {
    await listen(this.#server, this.host, this.port)
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Goes on as a new worker at the same address. */
  restartAs (id) {
    this.id = id
    this.born = Date.now()
    this.isLeaving = false
    this.arrivals = []
  }

  createEntry (phase = 'ready') {
    const { service, host, port, zone, slots, born } = this
    return { service, address: `${host}:${port}`, zone, version: 'v1', slots, phase, coldLeftMs: 0, sequence: 0, born }
  }

  async #handle (request, response) {
    const { 'attempt-id': id, 'expect-instance': expected, tenant } = request.headers
    const { remoteAddress: from } = request.socket
    const body = await readBody(request).catch(() => undefined)
    if (body === undefined) return
    if (this.isLeaving) response.setHeader('Server-Leaving', '1')
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Instance-Id': this.id, 'content-length': 0 }).end()
      return
    }
    const call = { id, method: request.method, path: request.url, tenant, from, atMs: Date.now() }
    const { length } = this.arrivals
    this.arrivals.push(call)
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Attempt-Id': id, 'Instance-Id': this.id, 'content-length': 0 }).end()
      return
    }
    if (await this.intercept(call, response, length) === true) return
    this.runs.push(call)
    await wait(this.workMs)
    if (response.destroyed) return
    this.answer(call, response)
  }

  /** Sends the success of a request that has run. */
  answer ({ id }, response) {
    const text = `done ${id}`
    response.writeHead(200, { 'Attempt-Id': id, 'Server-Signature': `sig.${this.id}.${id}`, 'content-type': 'text/plain', 'content-length': text.length })
    response.end(text)
  }
}

const eventCount = 10
const eventIntervalMs = 20

/** @returns the parts of a path, as the header `Hop-Count` names them */
const parsePath = (text = '') => text.split(',').map((entry) => {
  const [, address = '', from = '0', to = '0'] = /^([\d.:]+)=(\d+)-(\d+)$/.exec(entry) ?? []
  return { address, from: Number(from), to: Number(to) }
})

/** A model worker that loads layers as it is ordered, and serves streams along the path that a request names. */
export class ModelWorker {
  born = Date.now()
  sequence = 0
  layers = null
  /** Whether it leaves, and says so in its entry. */
  isLeaving = false
  /** Time that it takes to load, in milliseconds. */
  loadMs = 300
  /** Number of reports that it has sent. */
  reports = 0
  /** Changes the text of a report before it is sent. */
  spoilReport = (text) => text
  #fence = 0
  #busy = false
  #server = createServer((request, response) => this.#handle(request, response))

  /** @param fleet - all model workers by address */
  constructor ({ id, service, host, port, zone, type, fleet, handleChange }) {
    Object.assign(this, { id, service, host, port, zone, type, fleet, handleChange })
    fleet.set(`${host}:${port}`, this)
  }

  async start () {
    await listen(this.#server, this.host, this.port)
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  createEntry () {
    const { service, host, port, zone, type, born, layers, sequence } = this
    return { service, address: `${host}:${port}`, zone, version: 'v1', slots: 50, phase: this.isLeaving ? 'draining' : 'ready', coldLeftMs: 0, sequence, born, type, layers }
  }

  async #handle (request, response) {
    const body = await readBody(request).catch(() => undefined)
    if (body === undefined) return
    if (request.url === '/v1/report') {
      this.reports++
      this.#sendText(response, 200, this.spoilReport(JSON.stringify(this.#createReport())))
    } else if (request.url === '/v1/order') this.#send(response, this.#order(JSON.parse(body)), {})
    else await this.#serve(request.headers, response)
  }

  /** Serves a stream, unless a part of its path is not there. */
  async #serve ({ 'attempt-id': id = '', 'expect-instance': expected, 'last-event-id': lastEventId = '0', 'hop-count': path }, response) {
    const missing = parsePath(path).find(({ address, from, to }) => {
      const layers = this.fleet.get(address)?.layers
      return layers === undefined || layers === null || layers.from > from || layers.to < to
    })
    if (expected !== this.id || missing !== undefined) {
      const details = missing === undefined ? { 'Instance-Id': this.id } : { 'At-Server': missing.address }
      response.writeHead(421, { 'Attempt-Id': id, 'Not-Executed': '1', 'content-length': 0, ...details }).end()
      return
    }
    response.writeHead(200, { 'Attempt-Id': id, 'Server-Signature': `sig.${this.id}.${id}`, 'content-type': 'text/event-stream' })
    for (let event = Number(lastEventId) + 1; event <= eventCount && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: token ${event}\n\n`)
      await wait(eventIntervalMs)
    }
    response.end()
  }

  #send (response, status, body) {
    this.#sendText(response, status, JSON.stringify(body))
  }

  #sendText (response, status, text) {
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': text.length }).end(text)
  }

  #createReport () {
    const { born, layers, sequence } = this
    return { born, layers, sequence, busy: this.#busy, phaseKind: 'unified', models: [], queued: 0, active: 0, kvUsed: 0, kvTotal: 1_000_000, sessions: 0 }
  }

  #order ({ operation, from, to, fencingToken, precondition }) {
    if (operation !== 'place') return 400
    if (fencingToken !== undefined && fencingToken < this.#fence) return 412
    this.#fence = Math.max(this.#fence, fencingToken ?? 0)
    if (this.#busy || (precondition !== undefined && precondition !== this.sequence)) return 409
    if (this.layers?.from === from && this.layers.to === to) return 200
    this.sequence++
    this.#busy = true
    setTimeout(() => {
      this.#busy = false
      this.layers = { from, to }
      this.handleChange?.()
    }, this.loadMs)
    return 202
  }
}
