/**
 * Services shared within each process that forwards calls: clock, journal, metrics, the platform's object store and
 * replicas of its objects.
 */
import { KindReplica } from '@clementineloft/coordination'
import type { Freshness, KindStore } from '@clementineloft/coordination'
import {
  createIdentifier, createSystemRandom, EventLogWriter, getErrorMessage, HybridClock, Journal, Metrics, SystemClock
} from '@clementineloft/kernel'
import { selectLatestIncarnations } from '@clementineloft/routing'
import type { CallConfig, CallEndpoint } from '@clementineloft/routing'
import { createSmallServer } from '../callers/small-server.js'
import type { ForwardingSettings } from './forwarding-settings.js'
import type { PlatformPorts } from './platform-ports.js'

/** Number of journal events that each process retains. */
const journalCapacity = 2000
/**
 * Maximum duration of one watch request, in milliseconds. `short` is for objects whose changes must arrive in time: a
 * silent connection must be detected within the time that a configuration may take to apply. Elsewhere the store's own
 * limit suffices.
 */
export const WatchTimeoutMs = {
  short: 4000,
  long: 30_000
} as const
export type WatchTimeoutMs = typeof WatchTimeoutMs[keyof typeof WatchTimeoutMs]
const replicaTiming = { shortestPauseMs: 100, longestPauseMs: 1000, coalesceMs: 200, relistDelayMs: 300 } as const
/** Time for which entries that expired during an outage of the store are retained after it, in milliseconds. */
const removalHoldMs = 1800

/** Shared services of one process. */
export class ForwardingProcess {
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
    const lines = new EventLogWriter(this.clock)
    this.journal = new Journal(settings.instance.name, new HybridClock(this.clock), journalCapacity, (event) => { lines.write(event) })
    this.store = ports.createStore(settings.platform.store_address, this.metrics)
  }

  /** Starts the HTTP server for metrics. */
  listenForMetrics (): void {
    const [host, port] = this.settings.instance.metrics_address.split(':') as [string, string]
    const server = createSmallServer((request, response) => {
      response.writeHead(200, { 'content-type': 'text/plain' })
      response.end(this.metrics.render())
    })
    server.on('error', (error) => { this.journal.record({ name: 'metrics-unavailable', detail: getErrorMessage(error) }) })
    server.listen(Number(port), host)
    server.unref()
  }

  /**
   * Follows the list of endpoints.
   *
   * @param apply - receives the latest incarnations of all endpoints that can be parsed, after each change
   * @param freshness - required freshness of reads and watches
   */
  followEndpoints (apply: (endpoints: CallEndpoint[]) => void, freshness: Freshness): KindReplica {
    return this.follow(this.ports.kinds.endpoints, (replica) => {
      apply(selectLatestIncarnations(replica.list().flatMap((object) => {
        const endpoint = this.parse(`${object.name}@${object.revision}`, () => this.ports.parseEndpoint(object))
        return endpoint === undefined ? [] : [endpoint]
      })))
    }, freshness)
  }

  /**
   * Follows the configuration.
   *
   * @param apply - receives each version that is newer than all previous ones
   * @param freshness - required freshness of reads and watches
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
   * Follows all objects of a kind.
   *
   * @param apply - called after each change
   * @param freshness - required freshness of reads and watches
   * @param waitMs - maximum duration of one watch request, in milliseconds
   */
  follow (kind: string, apply: (replica: KindReplica) => void, freshness: Freshness, waitMs: WatchTimeoutMs = WatchTimeoutMs.short): KindReplica {
    const options = { waitMs, freshness, ...replicaTiming, deferRemovalsMs: removalHoldMs }
    const replica: KindReplica = new KindReplica(this.store, kind, this.clock, this.random, options, {
      handleChange: () => { apply(replica) },
      handleConnection: (isConnected, reason) => {
        this.journal.record({ name: isConnected ? 'store-regained' : 'store-lost', detail: reason, data: { kind } })
      }
    })
    void replica.follow()
    return replica
  }

  /** Parses an object of another writer; one that cannot be parsed is skipped and reported in the journal once. */
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
