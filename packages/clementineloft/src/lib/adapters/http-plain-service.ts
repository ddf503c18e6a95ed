/**
 * Adapter of a plain service over HTTP.
 */
import { plainServices } from './adapters.js'
import { HttpClient } from './http-client.js'
import { PlainService } from './plain-service.js'
import type { ServiceAnswer, ServiceCall } from './plain-service.js'

const hopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'te', 'trailer', 'date'])

/**
 * @param names - names and values by turns
 * @returns those that may be forwarded, as an object
 */
const selectHeaders = (names: readonly string[]): Record<string, string> => {
  const selected: Record<string, string> = {}
  for (let index = 0; index + 1 < names.length; index += 2) {
    const name = (names[index] as string).toLowerCase()
    if (!hopHeaders.has(name) && name !== 'host' && name !== 'authorization') selected[name] = names[index + 1] as string
  }
  return selected
}

/** Forwards calls as they came. */
export class HttpPlainService extends PlainService {
  private readonly client = new HttpClient()

  constructor (
    private readonly url: string,
    private readonly timeoutMs: number
  ) {
    super()
  }

  override async run (call: ServiceCall): Promise<ServiceAnswer> {
    const headers = selectHeaders(call.headers)
    if (call.key !== '') headers['idempotency-key'] = call.key
    headers['x-request-id'] = call.request
    // A call on a kept connection to a service that has died may have run; on a new one it is refused, so it has not.
    headers['connection'] = 'close'
    const body = call.body.byteLength > 0 ? call.body : undefined
    const url = this.createUrl(call.path)
    const reply = await this.client.send({ method: call.method, url, headers, body, timeoutMs: this.timeoutMs })
    const answered = Object.entries(reply.headers)
      .filter(([name, value]) => typeof value === 'string' && !hopHeaders.has(name))
      .flatMap(([name, value]) => [name, value as string])
    return { status: reply.status, headers: answered, body: reply.body.toString('base64') }
  }

  /** Sets path and query by themselves, so that no path can name another host. */
  private createUrl (path: string): URL {
    const url = new URL(this.url)
    const queryStart = path.indexOf('?')
    url.pathname = queryStart === -1 ? path : path.slice(0, queryStart)
    url.search = queryStart === -1 ? '' : path.slice(queryStart)
    return url
  }
}

plainServices.register('http', (url, timeoutMs) => new HttpPlainService(url, timeoutMs))
