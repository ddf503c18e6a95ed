/**
 * Adapter of the platform's list of instances over HTTP.
 */
import { InstanceList } from '@clementineloft/coordination'
import type { Instance, InstanceListing } from '@clementineloft/coordination'
import { instanceLists } from './adapters.js'
import { HttpClient } from './http-client.js'

/** Client of `GET /instances`, with `If-None-Match` for the version that is already known. */
export class HttpInstanceList extends InstanceList {
  private readonly client = new HttpClient()

  constructor (
    private readonly url: string,
    private readonly timeoutMs: number
  ) {
    super()
  }

  override async fetch (knownVersion: string): Promise<InstanceListing | undefined> {
    const url = new URL('/instances', this.url)
    const reply = await this.client.sendJson('GET', url, undefined, this.timeoutMs, { 'if-none-match': `"${knownVersion}"` })
    if (reply.status !== 200) return undefined
    const version = (reply.headers.etag ?? '').replaceAll('"', '')
    return { version, instances: JSON.parse(reply.body.toString()) as Instance[] }
  }
}

instanceLists.register('http', (url, timeoutMs) => new HttpInstanceList(url, timeoutMs))
