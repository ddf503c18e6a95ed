/**
 * Adapter for loading layers into a model engine over HTTP.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { LoadableEngine } from '@clementineloft/routing'
import type { ModelLayers } from '@clementineloft/routing'
import { loadableEngines } from './adapters.js'
import { HttpClient } from './http-client.js'

/** Client of `GET` and `PUT` on `/v1/loaded`. */
export class HttpLoadableEngine extends LoadableEngine {
  private readonly client = new HttpClient()

  constructor (
    private readonly url: string,
    private readonly timeoutMs: number
  ) {
    super()
  }

  override async readLoaded (): Promise<ModelLayers | undefined> {
    const reply = await this.client.sendJson('GET', new URL('/v1/loaded', this.url), undefined, this.timeoutMs)
    if (reply.status === 404) return undefined
    if (reply.status !== 200) throw createError(ErrorKind.endpointFailed, `engine answered with status ${reply.status} to GET /v1/loaded`)
    return JSON.parse(reply.body.toString()) as ModelLayers
  }

  override async load (target: ModelLayers, fence: number): Promise<void> {
    const reply = await this.client.sendJson('PUT', new URL('/v1/loaded', this.url), { ...target, fence }, this.timeoutMs)
    if (reply.status === 409) throw createError(ErrorKind.superseded, 'load request refused: the engine has seen a higher fencing token')
    if (reply.status !== 200) throw createError(ErrorKind.endpointFailed, `engine answered with status ${reply.status} to PUT /v1/loaded`)
  }
}

loadableEngines.register('http', (url, timeoutMs) => new HttpLoadableEngine(url, timeoutMs))
