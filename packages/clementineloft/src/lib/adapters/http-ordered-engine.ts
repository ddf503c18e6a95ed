/**
 * Adapter for loading layers into a model engine over HTTP.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { OrderedEngine } from '@clementineloft/routing'
import type { LoadedLayers } from '@clementineloft/routing'
import { orderedEngines } from './adapters.js'
import { HttpClient } from './http-client.js'

/** Client of `GET` and `PUT` on `/v1/loaded`. */
export class HttpOrderedEngine extends OrderedEngine {
  private readonly client = new HttpClient()

  constructor (
    private readonly url: string,
    private readonly timeoutMs: number
  ) {
    super()
  }

  override async readLoaded (): Promise<LoadedLayers | undefined> {
    const reply = await this.client.sendJson('GET', new URL('/v1/loaded', this.url), undefined, this.timeoutMs)
    if (reply.status === 404) return undefined
    if (reply.status !== 200) throw createError(ErrorKind.endpointFailed, `engine answered with status ${reply.status} to GET /v1/loaded`)
    return JSON.parse(reply.body.toString()) as LoadedLayers
  }

  override async load (target: LoadedLayers, fence: number): Promise<void> {
    const reply = await this.client.sendJson('PUT', new URL('/v1/loaded', this.url), { ...target, fence }, this.timeoutMs)
    if (reply.status === 409) throw createError(ErrorKind.superseded, 'load request refused: the engine has seen a higher fencing token')
    if (reply.status !== 200) throw createError(ErrorKind.endpointFailed, `engine answered with status ${reply.status} to PUT /v1/loaded`)
  }
}

orderedEngines.register('http', (url, timeoutMs) => new HttpOrderedEngine(url, timeoutMs))
