/**
 * What every process that forwards calls holds: clock, events, metrics, the platform's store and copies of its objects.
 */
import { createServer } from 'node:http'
import { KindReplica } from '@clementineloft/coordination'
import type { Freshness, KindStore } from '@clementineloft/coordination'
import {
  createIdentifier, createSystemRandom, EventLines, getErrorMessage, HybridClock, Journal, Metrics, SystemClock
} from '@clementineloft/kernel'
import type { CallConfig, CallEndpoint } from '@clementineloft/routing'
import type { ForwardingSettings } from './forwarding-settings.js'
import type { PlatformPorts } from './platform-ports.js'

/** Events that each process keeps. */
const journalCapacity = 2000
/**
 * Longest wait of one watch, in milliseconds. Where an unnoticed change breaks a promise, a connection that has gone
 * silent must be found within the time that a configuration may take; elsewhere the store's own limit serves.
 */
export const WatchTimeoutMs = {
  prompt: 4000,
  patient: 30_000
} as const
export type WatchTimeoutMs = typeof WatchTimeoutMs[keyof typeof WatchTimeoutMs]
const replicaTiming = { shortestPauseMs: 100, longestPauseMs: 1000, gatherMs: 200, catchUpMs: 300 } as const
/** Time for which entries that lapsed during an outage are kept after it, in milliseconds. */
const removalHoldMs = 1800

/** Shared parts of one process. */
export class ProcessContext {
  readonly clock = new SystemClock()
  readonly random = createSystemRandom()
  readonly metrics = new Metrics()
  readonly incarnation = createIdentifier()
  readonly journal: Journal
  readonly store: KindStore
  private readonly unreadableObjects = new Set<string>()

  constructor (
    readonly settings: ForwardingSettings,
    readonly ports: PlatformPorts
  ) {
    const lines = new EventLines(this.clock)
    this.journal = new Journal(settings.instance.name, new HybridClock(this.clock), journalCapacity, (event) => { lines.write(event) })
    this.store = ports.createStore(settings.platform.store_address, this.metrics)
  }

  /** Serves metrics. */
  listenForMetrics (): void {
    const [host, port] = this.settings.instance.metrics_address.split(':') as [string, string]
    const server = createServer((request, response) => {
      response.writeHead(200, { 'content-type': 'text/plain' })
      response.end(this.metrics.render())
    })
    server.on('error', (error) => { this.journal.record({ name: 'metrics-unavailable', detail: getErrorMessage(error) }) })
    server.listen(Number(port), host)
    server.unref()
  }

  /**
   * Follows the endpoints of the list.
   *
   * @param apply - receives all endpoints that can be read, after each change
   * @param freshness - how fresh watches must be
   */
  followEndpoints (apply: (endpoints: CallEndpoint[]) => void, freshness: Freshness): KindReplica {
    return this.follow(this.ports.kinds.endpoints, (replica) => {
      apply(replica.list().flatMap((object) => {
        const endpoint = this.parse(`${object.name}@${object.revision}`, () => this.ports.parseEndpoint(object))
        return endpoint === undefined ? [] : [endpoint]
      }))
    }, freshness)
  }

  /**
   * Follows the configuration.
   *
   * @param apply - receives each version that is newer than those before
   * @param freshness - how fresh watches must be
   */
  followConfig (apply: (config: CallConfig) => void, freshness: Freshness): KindReplica {
    let version = 0
    const { kinds } = this.ports
    return this.follow(kinds.config, (replica) => {
      const object = replica.find(kinds.configName)
      if (object === undefined) return
      const config = this.parse(`config@${object.revision}`, () => this.ports.parseConfig(object))
      if (config === undefined || config.version <= version) return
      version = config.version
      this.journal.record({ name: 'config-applied', data: { version, routes: config.routes.length, revision: object.revision } })
      apply(config)
    }, freshness)
  }

  /**
   * Follows a kind.
   *
   * @param apply - called after each change
   * @param freshness - how fresh watches must be
   * @param waitMs - longest wait of one watch
   */
  follow (kind: string, apply: (replica: KindReplica) => void, freshness: Freshness, waitMs: WatchTimeoutMs = WatchTimeoutMs.prompt): KindReplica {
    const options = { waitMs, freshness, ...replicaTiming, holdRemovalsMs: removalHoldMs }
    const replica: KindReplica = new KindReplica(this.store, kind, this.clock, this.random, options, {
      handleChange: () => { apply(replica) },
      handleConnection: (isConnected, reason) => {
        this.journal.record({ name: isConnected ? 'store-regained' : 'store-lost', detail: reason, data: { kind } })
      }
    })
    void replica.follow()
    return replica
  }

  /** Reads an object of another writer; one that cannot be read is reported once and left out. */
  private parse<T> (key: string, read: () => T): T | undefined {
    try {
      return read()
    } catch (error) {
      if (!this.unreadableObjects.has(key)) {
        this.unreadableObjects.add(key)
        this.journal.record({ name: 'object-unreadable', detail: `${key}: ${getErrorMessage(error)}` })
      }
      return undefined
    }
  }
}
