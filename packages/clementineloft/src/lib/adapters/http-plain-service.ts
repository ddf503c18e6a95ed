/**
 * Adapter of a plain service over HTTP.
 */
import { createError, ErrorKind, Outcome, SystemClock } from '@clementineloft/kernel'
import { findHeaderFault, isFinalStatus } from '../callers/message-text.js'
import { plainServices } from './adapters.js'
import { HttpClient } from './http-client.js'
import { ListenProbe } from './listen-probe.js'
import { PlainService } from './plain-service.js'
import type { ServiceAnswer, ServiceCall } from './plain-service.js'

const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'te', 'trailer', 'date'])
const defaultPorts: Readonly<Record<string, string>> = { 'http:': '80', 'https:': '443' }

/**
 * @param rawHeaders - names and values of headers, alternating
 * @returns the headers that may be forwarded, with names in lower case
 */
const selectHeaders = (rawHeaders: readonly string[]): Record<string, string> => {
  const selected: Record<string, string> = {}
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase()
    if (!hopByHopHeaders.has(name) && name !== 'host' && name !== 'authorization') selected[name] = rawHeaders[index + 1] as string
  }
  return selected
}

/** Forwards calls without changing method, path and body. */
export class HttpPlainService extends PlainService {
  private readonly client = new HttpClient()
  private readonly probe = new ListenProbe(new SystemClock())

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
    // If the service has crashed, a call on a persistent connection has an unknown outcome, whereas a new connection is
    // refused, which proves that the call has not run.
    headers['connection'] = 'close'
    const body = call.body.byteLength > 0 ? call.body : undefined
    const url = this.createUrl(call.path)
    const reply = await this.client.send({ method: call.method, url, headers, body, timeoutMs: this.timeoutMs })
    const responseHeaders = Object.entries(reply.headers)
      .filter(([name, value]) => typeof value === 'string' && !hopByHopHeaders.has(name))
      .flatMap(([name, value]) => [name, value as string])
    const fault = isFinalStatus(reply.status) ? findHeaderFault(responseHeaders) : `status ${reply.status} is not that of a final answer`
    if (fault !== undefined) throw createError(ErrorKind.endpointFailed, `the answer of the service is malformed: ${fault}`, { outcome: Outcome.unknown })
    return { status: reply.status, headers: responseHeaders, body: reply.body.toString('base64') }
  }

  override async hasEnded (): Promise<boolean> {
    const { hostname, port, protocol } = new URL(this.url)
    return await this.probe.isClosed(`${hostname}:${port === '' ? defaultPorts[protocol] : port}`)
  }

  /** Sets path and query separately, so that a path cannot change the host. */
  private createUrl (path: string): URL {
    const url = new URL(this.url)
    const queryStart = path.indexOf('?')
    url.pathname = queryStart === -1 ? path : path.slice(0, queryStart)
    url.search = queryStart === -1 ? '' : path.slice(queryStart)
    return url
  }
}

plainServices.register('http', (url, timeoutMs) => new HttpPlainService(url, timeoutMs))
