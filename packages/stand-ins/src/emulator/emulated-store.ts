/**
 * The platform's object store as a stand-in: pages, watches, revisions, conditional writes, and the faults of a real one.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/** What is wrong with the store. */
export const EmulatedFault = {
  none: 'none',
  /** It refuses all calls. */
  busy: 'busy',
  /** It accepts calls and never answers. */
  silent: 'silent',
  /** It closes connections without an answer. */
  reset: 'reset',
  /** It carries writes out and closes the connection without an answer. */
  lostAnswers: 'lost-answers'
} as const
export type EmulatedFault = typeof EmulatedFault[keyof typeof EmulatedFault]

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

const pageLength = 20

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
  fault: EmulatedFault = EmulatedFault.none
  /** Own addresses at which calls are refused while those at others are served; each process has one of them. */
  readonly refusedHosts = new Set<string>()
  /** Number of calls, refused ones included. */
  calls = 0
  private revision = 1
  private oldestRevision = 0
  private readonly kinds = new Map<string, Map<string, StoredObject>>()
  private changes: Change[] = []
  private watches: Watch[] = []
  private readonly servers: Server[] = []

  /** Listens on one more address. */
  async listen (host: string, port: number): Promise<void> {
    const server = createServer((request, response) => { void this.handle(request, response) })
    this.servers.push(server)
    await new Promise<void>((resolve) => { server.listen(port, host, resolve) })
  }

  /** Closes everything. */
  stop (): void {
    for (const watch of this.watches) clearTimeout(watch.timer)
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Writes an object without conditions, as an operator or an endpoint does. */
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

  /** Forgets all changes so far, and ends all watches. */
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
    const woken = this.watches.filter((watch) => watch.kind === change.kind)
    this.watches = this.watches.filter((watch) => !woken.includes(watch))
    for (const watch of woken) this.answerWatch(watch)
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
    if (this.fault === EmulatedFault.silent) return
    if (this.fault === EmulatedFault.reset) request.socket.resetAndDestroy()
    else if (this.fault === EmulatedFault.busy || isRefused) send(response, 503, {})
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
    else this.readOne(response, kind, name)
  }

  private readOne (response: ServerResponse, kind: string, name: string): void {
    const object = this.getObjects(kind).get(name)
    send(response, object === undefined ? 404 : 200, object ?? {})
  }

  private list (response: ServerResponse, kind: string, after: string): void {
    const names = [...this.getObjects(kind).keys()].sort().filter((name) => name > after)
    const entries = names.slice(0, pageLength).map((name) => this.getObjects(kind).get(name))
    send(response, 200, { entries, hasMore: names.length > pageLength, at: this.revision })
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

  private applyWrite (request: IncomingMessage, response: ServerResponse, kind: string, wanted: StoredObject): void {
    const { name, revision } = wanted.metadata
    const existing = this.getObjects(kind).get(name)
    const isFitting = request.method === 'POST' ? existing === undefined : existing !== undefined && (revision === undefined || existing.metadata.revision === revision)
    if (!isFitting) {
      send(response, existing === undefined ? 404 : 409, existing ?? {})
      return
    }
    this.write(kind, name, wanted.spec)
    if (this.fault === EmulatedFault.lostAnswers) request.socket.destroy()
    else send(response, 200, this.getObjects(kind).get(name))
  }
}
