/**
 * Emulates the platform's object store: paged lists, watches, revisions, conditional writes, and faults of a real store.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/** Faults of the store. */
export const EmulatedStoreFault = {
  none: 'none',
  /** All calls are answered with status 503. */
  busy: 'busy',
  /** Calls are accepted and never answered. */
  silent: 'silent',
  /** Connections are reset without an answer. */
  reset: 'reset',
  /** Writes are applied and the connection is closed without an answer. */
  lostAnswers: 'lost-answers'
} as const
export type EmulatedStoreFault = typeof EmulatedStoreFault[keyof typeof EmulatedStoreFault]

interface StoredObject {
  metadata: { name: string, revision: number, createdRev: number, finalizers: string[], deletionPending: boolean }
  spec: unknown
  status: unknown
}

interface Change {
  kind: string
  revision: number
  deleted: boolean
  object: StoredObject
}

interface Watch {
  kind: string
  response: ServerResponse
  revision: number
  timer: NodeJS.Timeout
}

const pageSize = 20

const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}

const send = (response: ServerResponse, status: number, body: unknown): void => {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.byteLength })
  response.end(bytes)
}

/** Serves objects under `/v1/objects`. */
export class EmulatedStore {
  fault: EmulatedStoreFault = EmulatedStoreFault.none
  /** Local hosts at which calls are refused. Each process uses its own, so that the store can refuse a single process. */
  readonly refusedHosts = new Set<string>()
  /** Number of calls, including refused ones. */
  calls = 0
  private revision = 1
  private oldestRevision = 0
  private readonly kinds = new Map<string, Map<string, StoredObject>>()
  private changes: Change[] = []
  private watches: Watch[] = []
  private readonly servers: Server[] = []

  /** Listens on an additional address. */
  async listen (host: string, port: number): Promise<void> {
    const server = createServer((request, response) => { void this.handle(request, response) })
    this.servers.push(server)
    await new Promise<void>((resolve) => { server.listen(port, host, resolve) })
  }

  /** Cancels all watches and closes all servers. */
  stop (): void {
    for (const watch of this.watches) clearTimeout(watch.timer)
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Writes an object without a precondition, as an operator or an endpoint does. */
  write (kind: string, name: string, spec: unknown): void {
    const objects = this.getObjects(kind)
    const before = objects.get(name)
    const revision = ++this.revision
    const metadata = { name, revision, createdRev: before?.metadata.createdRev ?? revision, finalizers: [], deletionPending: false }
    const object = { metadata, spec, status: null }
    objects.set(name, object)
    this.recordChange({ kind, revision, deleted: false, object })
  }

  /** Removes an object. */
  remove (kind: string, name: string): void {
    const object = this.getObjects(kind).get(name)
    if (object === undefined) return
    this.getObjects(kind).delete(name)
    this.recordChange({ kind, revision: ++this.revision, deleted: true, object })
  }

  /** @returns the value of an object, or `undefined` */
  read (kind: string, name: string): unknown {
    return this.getObjects(kind).get(name)?.spec
  }

  /** Discards the change history and closes all watches, so that clients have to list again. */
  dropHistory (): void {
    this.changes = []
    this.oldestRevision = this.revision
    for (const watch of this.watches.splice(0)) {
      clearTimeout(watch.timer)
      watch.response.destroy()
    }
  }

  private getObjects (kind: string): Map<string, StoredObject> {
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>()
    this.kinds.set(kind, objects)
    return objects
  }

  private recordChange (change: Change): void {
    this.changes.push(change)
    const matchingWatches = this.watches.filter((watch) => watch.kind === change.kind)
    this.watches = this.watches.filter((watch) => !matchingWatches.includes(watch))
    for (const watch of matchingWatches) this.answerWatch(watch)
  }

  private answerWatch (watch: Watch): void {
    clearTimeout(watch.timer)
    const events = this.changes
      .filter((change) => change.kind === watch.kind && change.revision > watch.revision)
      .map(({ deleted, object }) => ({ deleted, object }))
    send(watch.response, 200, { events, at: this.revision })
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls++
    const body = await readBody(request)
    const isRefused = this.refusedHosts.has(request.socket.localAddress ?? '')
    if (this.fault === EmulatedStoreFault.silent) return
    if (this.fault === EmulatedStoreFault.reset) request.socket.resetAndDestroy()
    else if (this.fault === EmulatedStoreFault.busy || isRefused) send(response, 503, {})
    else this.route(request, response, body)
  }

  private route (request: IncomingMessage, response: ServerResponse, body: string): void {
    const url = new URL(request.url ?? '/', 'http://store')
    const [kind = '', name] = url.pathname.slice('/v1/objects/'.length).split('/').map(decodeURIComponent)
    if (request.method === 'POST' || request.method === 'PUT') {
      this.applyWrite(request, response, kind, JSON.parse(body) as StoredObject)
      return
    }
    if (url.searchParams.has('watch')) this.watch(response, kind, url.searchParams)
    else if (name === undefined) this.list(response, kind, url.searchParams.get('sinceRev') ?? '')
    else this.sendObject(response, kind, name)
  }

  private sendObject (response: ServerResponse, kind: string, name: string): void {
    const object = this.getObjects(kind).get(name)
    send(response, object === undefined ? 404 : 200, object ?? {})
  }

  private list (response: ServerResponse, kind: string, after: string): void {
    const names = [...this.getObjects(kind).keys()].sort().filter((name) => name > after)
    const entries = names.slice(0, pageSize).map((name) => this.getObjects(kind).get(name))
    send(response, 200, { entries, hasMore: names.length > pageSize, at: this.revision })
  }

  private watch (response: ServerResponse, kind: string, query: URLSearchParams): void {
    const revision = Number(query.get('watch'))
    if (revision < this.oldestRevision) {
      send(response, 410, {})
      return
    }
    const timer = setTimeout(() => {
      this.watches = this.watches.filter((other) => other !== watch)
      this.answerWatch(watch)
    }, Number(query.get('waitMs')))
    const watch: Watch = { kind, response, revision, timer }
    if (this.changes.some((change) => change.kind === kind && change.revision > revision)) this.answerWatch(watch)
    else this.watches.push(watch)
  }

  private applyWrite (request: IncomingMessage, response: ServerResponse, kind: string, requested: StoredObject): void {
    const { name, revision } = requested.metadata
    const existing = this.getObjects(kind).get(name)
    const isPreconditionMet = request.method === 'POST' ? existing === undefined : existing !== undefined && (revision === undefined || existing.metadata.revision === revision)
    if (!isPreconditionMet) {
      send(response, existing === undefined ? 404 : 409, existing ?? {})
      return
    }
    this.write(kind, name, requested.spec)
    if (this.fault === EmulatedStoreFault.lostAnswers) request.socket.destroy()
    else send(response, 200, this.getObjects(kind).get(name))
  }
}
