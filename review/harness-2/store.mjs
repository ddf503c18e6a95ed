/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: objects by kind, lists, watches, conditional writes. Entries of
 * workers expire after three heartbeat intervals of silence.
 */
import { createServer } from 'node:http'

const pageSize = 500

const readBody = async (request) => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

const send = (response, status, body) => {
  if (response.destroyed) return
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length })
  response.end(bytes)
}

/** The store. Reads are linearizable; a watch with `staleOk` sees what a follower has that catches up at intervals. */
export class Store {
  revision = 1
  /** Interval at which the follower that serves stale watches catches up, in milliseconds; 0 for no delay. */
  staleStepMs = 0
  /** How far stale watches are behind, in milliseconds, if no follower serves them. */
  staleDelayMs = 0
  /** Names of workers whose heartbeats do not reach the store. */
  cutOffWorkers = new Set()
  #followerRevision = 1
  #kinds = new Map()
  #changes = []
  #watches = new Set()
  #heartbeats = new Map()
  #server = createServer((request, response) => this.#handle(request, response))

  async listen (host, port) {
    await new Promise((resolve) => { this.#server.listen(port, host, resolve) })
    if (this.staleStepMs > 0) this.#timer = setInterval(() => { this.#catchUp() }, this.staleStepMs)
  }

  #timer

  close () {
    clearInterval(this.#timer)
    for (const watch of this.#watches) clearTimeout(watch.timer)
    for (const { timer } of this.#heartbeats.values()) clearInterval(timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes an object as an operator or a worker does. @returns time of the acknowledgement */
  write (kind, name, spec) {
    const objects = this.#getObjects(kind)
    const before = objects.get(name)
    if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) return Date.now()
    const revision = ++this.revision
    const metadata = { name, revision, createdRev: before?.metadata.createdRev ?? revision, finalizers: [], deletionPending: false }
    const object = { metadata, spec, status: null }
    objects.set(name, object)
    this.#record({ kind, revision, deleted: false, object })
    return Date.now()
  }

  /** Removes an object. @returns time of the acknowledgement */
  remove (kind, name) {
    const object = this.#getObjects(kind).get(name)
    if (object !== undefined) {
      this.#getObjects(kind).delete(name)
      this.#record({ kind, revision: ++this.revision, deleted: true, object })
    }
    return Date.now()
  }

  /** @returns the value of an object; `undefined` if there is none */
  read (kind, name) {
    return this.#getObjects(kind).get(name)?.spec
  }

  has (kind, name) {
    return this.#getObjects(kind).has(name)
  }

  /** Keeps the entry of a worker by heartbeats, until {@link stopHeartbeats}. */
  startHeartbeats (name, createSpec, heartbeatMs) {
    let lastMs = Date.now()
    this.write('servers', name, createSpec())
    const timer = setInterval(() => {
      if (!this.cutOffWorkers.has(name)) {
        lastMs = Date.now()
        this.write('servers', name, createSpec())
      } else if (Date.now() - lastMs >= 3 * heartbeatMs) this.remove('servers', name)
    }, heartbeatMs)
    this.#heartbeats.set(name, { timer })
  }

  stopHeartbeats (name) {
    clearInterval(this.#heartbeats.get(name)?.timer)
    this.#heartbeats.delete(name)
  }

  #getObjects (kind) {
    const objects = this.#kinds.get(kind) ?? new Map()
    this.#kinds.set(kind, objects)
    return objects
  }

  #record (change) {
    this.#changes.push({ ...change, atMs: Date.now() })
    this.#answerWatches()
    if (this.staleDelayMs > 0) setTimeout(() => { this.#answerWatches() }, this.staleDelayMs + 1).unref()
  }

  #catchUp () {
    this.#followerRevision = this.revision
    this.#answerWatches()
  }

  #getVisibleRevision (isStale) {
    if (!isStale) return this.revision
    if (this.staleStepMs > 0) return this.#followerRevision
    if (this.staleDelayMs === 0) return this.revision
    const visibleMs = Date.now() - this.staleDelayMs
    return this.#changes.findLast(({ atMs }) => atMs <= visibleMs)?.revision ?? 1
  }

  #findEvents ({ kind, revision, isStale }) {
    const visible = this.#getVisibleRevision(isStale)
    return this.#changes
      .filter((change) => change.kind === kind && change.revision > revision && change.revision <= visible)
      .map(({ deleted, object }) => ({ deleted, object }))
  }

  #answerWatches () {
    for (const watch of this.#watches) {
      if (this.#findEvents(watch).length > 0) this.#answer(watch)
    }
  }

  #answer (watch) {
    clearTimeout(watch.timer)
    this.#watches.delete(watch)
    const at = Math.max(watch.revision, this.#getVisibleRevision(watch.isStale))
    send(watch.response, 200, { events: this.#findEvents(watch), at })
  }

  async #handle (request, response) {
    const body = await readBody(request).catch(() => undefined)
    if (body === undefined) return
    const url = new URL(request.url, 'http://store')
    const [kind, name] = url.pathname.slice('/v1/objects/'.length).split('/').map(decodeURIComponent)
    if (request.method === 'POST' || request.method === 'PUT') this.#put(request.method, response, kind, JSON.parse(body))
    else if (request.method === 'DELETE') this.#delete(response, kind, name)
    else if (url.searchParams.has('watch')) this.#watch(response, kind, url.searchParams)
    else if (name === undefined) this.#list(response, kind, url.searchParams.get('sinceRev') ?? '')
    else this.#get(response, kind, name)
  }

  #get (response, kind, name) {
    const object = this.#getObjects(kind).get(name)
    send(response, object === undefined ? 404 : 200, object ?? {})
  }

  #list (response, kind, after) {
    const objects = this.#getObjects(kind)
    const names = [...objects.keys()].sort().filter((name) => name > after)
    send(response, 200, { entries: names.slice(0, pageSize).map((name) => objects.get(name)), hasMore: names.length > pageSize, at: this.revision })
  }

  #watch (response, kind, query) {
    const watch = { response, kind, revision: Number(query.get('watch')), isStale: query.get('staleOk') === '1' }
    if (this.#findEvents(watch).length > 0) {
      this.#answer(watch)
      return
    }
    watch.timer = setTimeout(() => { this.#answer(watch) }, Number(query.get('waitMs')))
    this.#watches.add(watch)
    response.on('close', () => {
      clearTimeout(watch.timer)
      this.#watches.delete(watch)
    })
  }

  #put (method, response, kind, { metadata: { name, revision }, spec }) {
    const existing = this.#getObjects(kind).get(name)
    const isMet = method === 'POST' ? existing === undefined : existing !== undefined && (revision === undefined || existing.metadata.revision === revision)
    if (!isMet) {
      send(response, existing === undefined ? 404 : 409, existing ?? {})
      return
    }
    this.write(kind, name, spec)
    this.#get(response, kind, name)
  }

  #delete (response, kind, name) {
    this.remove(kind, name)
    send(response, 200, {})
  }
}
