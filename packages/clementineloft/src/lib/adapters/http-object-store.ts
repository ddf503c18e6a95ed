/**
 * Adapter of the platform's object API over HTTP.
 */
import { absentVersion, ObjectStore } from '@clementineloft/coordination'
import type { StoredObject } from '@clementineloft/coordination'
import { createError, ErrorKind, getErrorMessage, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import type { Metrics } from '@clementineloft/kernel'
import { objectStores } from './adapters.js'
import { HttpClient } from './http-client.js'
import type { HttpReply } from './http-client.js'

const watchMarginMs = 5000

/** Client of `GET`, `PUT` and `DELETE` on `/objects/KEY`; writes are conditional with `If-Match` or `If-None-Match`. */
export class HttpObjectStore extends ObjectStore {
  private readonly client = new HttpClient()

  /**
   * @param url - base URL of the object API
   * @param timeoutMs - time limit of a call in milliseconds
   * @param metrics - receives the numbers of calls and errors by operation
   */
  constructor (
    private readonly url: string,
    private readonly timeoutMs: number,
    private readonly metrics: Metrics
  ) {
    super()
  }

  override async get (key: string): Promise<StoredObject | undefined> {
    const reply = await this.call('get', 'GET', this.createUrl(key))
    return reply.status === 404 ? undefined : JSON.parse(reply.body.toString()) as StoredObject
  }

  override async list (prefix: string): Promise<StoredObject[]> {
    const url = new URL(`/objects?prefix=${encodeURIComponent(prefix)}`, this.url)
    const reply = await this.call('list', 'GET', url)
    return JSON.parse(reply.body.toString()) as StoredObject[]
  }

  override async put (key: string, value: string, expectedVersion: number): Promise<number> {
    const condition = this.createCondition(expectedVersion)
    const reply = await this.call('put', 'PUT', this.createUrl(key), { value }, condition)
    if (reply.status === 412) throw createError(ErrorKind.conflict, `object "${key}" does not have version ${expectedVersion}`)
    return (JSON.parse(reply.body.toString()) as StoredObject).version
  }

  override async remove (key: string, expectedVersion: number): Promise<void> {
    const reply = await this.call('remove', 'DELETE', this.createUrl(key), undefined, this.createCondition(expectedVersion))
    if (reply.status === 412) throw createError(ErrorKind.conflict, `object "${key}" does not have version ${expectedVersion}`)
  }

  override async watch (key: string, afterVersion: number, timeoutMs: number): Promise<StoredObject | undefined> {
    const url = this.createUrl(key)
    url.searchParams.set('after', String(afterVersion))
    url.searchParams.set('timeout', String(timeoutMs))
    const reply = await this.call('watch', 'GET', url, undefined, {}, timeoutMs + watchMarginMs)
    return reply.status === 200 ? JSON.parse(reply.body.toString()) as StoredObject : undefined
  }

  private createUrl (key: string): URL {
    return new URL(`/objects/${encodeURIComponent(key)}`, this.url)
  }

  private createCondition (expectedVersion: number): Record<string, string> {
    return expectedVersion === absentVersion ? { 'if-none-match': '*' } : { 'if-match': `"${expectedVersion}"` }
  }

  private async call (
    operation: string,
    method: string,
    url: URL,
    body?: unknown,
    headers: Record<string, string> = {},
    timeoutMs = this.timeoutMs
  ): Promise<HttpReply> {
    this.metrics.count(`store_calls_total{operation="${operation}"}`)
    let reply: HttpReply
    try {
      reply = await this.client.sendJson(method, url, body, timeoutMs, headers)
    } catch (error) {
      this.metrics.count(`store_errors_total{operation="${operation}"}`)
      throw createError(ErrorKind.storeUnavailable, `object store is unavailable: ${getErrorMessage(error)}`, {
        outcome: getErrorOutcome(error), cause: error
      })
    }
    if (reply.status < 500) return reply
    this.metrics.count(`store_errors_total{operation="${operation}"}`)
    throw createError(ErrorKind.storeUnavailable, `object store answered with status ${reply.status}`, { outcome: Outcome.unknown })
  }
}

objectStores.register('http', (url, timeoutMs, metrics) => new HttpObjectStore(url, timeoutMs, metrics))
