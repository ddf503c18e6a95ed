/**
 * The platform as a process: serves the object API and the instance list over HTTP.
 */
import type { Server } from 'node:http'
import { MemoryStore, StoreFault } from '@clementineloft/coordination'
import type { Instance } from '@clementineloft/coordination'
import { ErrorKind, getErrorKind } from '@clementineloft/kernel'
import { startStandInServer } from './stand-in-server.js'
import type { StandInReply, StandInRequest } from './stand-in-server.js'

/** Body of `PUT /control`. */
interface PlatformControl {
  fault?: StoreFault
  instances?: Instance[]
}

/** Serves a {@link MemoryStore} and an instance list. */
export class PlatformServer {
  readonly store = new MemoryStore()
  private instances: Instance[] = []
  private listVersion = 1

  /** @param port - port to listen on */
  async start (port: number): Promise<Server> {
    return await startStandInServer(port, async (request) => await this.handle(request))
  }

  private async handle (request: StandInRequest): Promise<StandInReply | null> {
    const { method, url } = request
    if (url.pathname === '/control' && method === 'PUT') return this.control(JSON.parse(request.body) as PlatformControl)
    if (url.pathname === '/calls') return { status: 200, body: this.store.calls }
    if (url.pathname === '/instances') return this.listInstances(request)
    try {
      return await this.handleObject(request)
    } catch (error) {
      if (getErrorKind(error) === ErrorKind.conflict) return { status: 412 }
      return this.store.fault === StoreFault.lostAnswers ? null : { status: 503 }
    }
  }

  private control (control: PlatformControl): StandInReply {
    if (control.fault !== undefined) this.store.fault = control.fault
    if (control.instances !== undefined) {
      this.instances = control.instances
      this.listVersion++
    }
    return { status: 200, body: {} }
  }

  private listInstances (request: StandInRequest): StandInReply {
    const etag = `"${this.listVersion}"`
    if (request.headers['if-none-match'] === etag) return { status: 304, headers: { etag } }
    return { status: 200, headers: { etag }, body: this.instances }
  }

  private async handleObject (request: StandInRequest): Promise<StandInReply> {
    const { method, url, headers } = request
    const prefix = url.searchParams.get('prefix')
    if (prefix !== null) return { status: 200, body: await this.store.list(prefix) }
    const key = decodeURIComponent(url.pathname.slice('/objects/'.length))
    const expectedVersion = Number((headers['if-match'] ?? '"0"').replaceAll('"', ''))
    if (method === 'PUT') {
      const { value } = JSON.parse(request.body) as { value: string }
      return { status: 200, body: { key, version: await this.store.put(key, value, expectedVersion) } }
    }
    if (method === 'DELETE') {
      await this.store.remove(key, expectedVersion)
      return { status: 200, body: {} }
    }
    const after = url.searchParams.get('after')
    if (after === null) {
      const object = await this.store.get(key)
      return object === undefined ? { status: 404 } : { status: 200, body: object }
    }
    const newerObject = await this.store.watch(key, Number(after), Number(url.searchParams.get('timeout')))
    return newerObject === undefined ? { status: 204 } : { status: 200, body: newerObject }
  }
}
