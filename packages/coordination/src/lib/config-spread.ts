/**
 * Spreads the configuration between processes.
 *
 * A few processes in each data centre watch the store; all others hear from their peers. Every process has a few random
 * neighbours, so that connections can be kept. Whoever learns of a newer revision tells its neighbours at once, and
 * everyone compares revisions with one of them at a steady pace. A change therefore spreads while the store is down, and
 * a new process gets the configuration from any peer.
 */
import { getErrorMessage } from '@clementineloft/kernel'
import type { Clock, RandomSource } from '@clementineloft/kernel'
import type { ConfigReplica, ConfigSnapshot, ConfigUpdate } from './config-replica.js'
import type { Instance, Membership } from './membership.js'
import { rankCandidates } from './rendezvous.js'
import type { StoreRecord } from './store-record.js'

const watchTimeoutMs = 50_000
const minWatchRetryMs = 1000
const maxWatchRetryMs = 15_000

/** Paces of the spreading. */
export interface SpreadOptions {
  /** Time between two comparisons with a random peer, in milliseconds. */
  exchangeIntervalMs: number
  /** How many peers a process compares with; each is replaced when it does not answer. */
  neighbours: number
  /** How many processes of a data centre watch the store. */
  watchersPerDataCentre: number
}

/** Carries comparisons between processes. */
export abstract class PeerTransport<T> {
  /**
   * Tells a peer the revision held here and receives what it has beyond that.
   *
   * @param peer - the instance to ask
   * @param revision - revision held here; a peer that is behind asks back by itself
   */
  abstract exchange (peer: Instance, revision: number): Promise<ConfigUpdate<T>>
}

/** Keeps one replica up to date. */
export class ConfigSpread<T extends object> {
  private isStopped = false
  private storeVersion = 0
  private neighbours: Instance[] = []

  /**
   * @param self - name and data centre of this instance
   * @param replica - the replica to keep up to date
   * @param record - the configuration's object in the store
   */
  constructor (
    private readonly self: { name: string, dataCentre: string },
    private readonly replica: ConfigReplica<T>,
    private readonly record: StoreRecord<ConfigSnapshot<T>>,
    private readonly membership: Membership,
    private readonly transport: PeerTransport<T>,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: SpreadOptions,
    private readonly reportFault: (message: string) => void
  ) {}

  /** Starts the comparisons and, where it falls to this process, the watch. */
  start (): void {
    this.replica.subscribe(() => { this.notifyNeighbours() })
    void this.runExchanges()
    void this.runWatch()
  }

  /** Ends both loops after their present step. */
  stop (): void {
    this.isStopped = true
  }

  /**
   * Compares revisions with one peer and applies what it has beyond ours.
   *
   * @param peer - the instance to ask
   */
  async exchangeWith (peer: Instance): Promise<void> {
    try {
      this.replica.apply(await this.transport.exchange(peer, this.replica.getRevision()))
    } catch {
      this.neighbours = this.neighbours.filter((neighbour) => neighbour.name !== peer.name)
    }
  }

  /**
   * Keeps neighbours that still exist and adds random instances in place of those that are gone.
   *
   * @returns the instances that this process compares with
   */
  listNeighbours (): Instance[] {
    const remaining = this.neighbours.filter((neighbour) => this.membership.find(neighbour.name)?.address === neighbour.address)
    const names = new Set([this.self.name, ...remaining.map((neighbour) => neighbour.name)])
    const candidates = remaining.length < this.options.neighbours
      ? this.membership.list().filter((instance) => !names.has(instance.name))
      : []
    while (remaining.length < this.options.neighbours && candidates.length > 0) {
      remaining.push(...candidates.splice(this.random.pickInteger(candidates.length), 1))
    }
    this.neighbours = remaining
    return remaining
  }

  private notifyNeighbours (): void {
    for (const neighbour of this.listNeighbours()) void this.exchangeWith(neighbour)
  }

  private async runExchanges (): Promise<void> {
    while (!this.isStopped) {
      const neighbours = this.listNeighbours()
      if (neighbours.length > 0) await this.exchangeWith(this.random.pickItem(neighbours))
      const hasConfig = this.replica.getRevision() > 0
      const jitter = 0.5 + this.random.next()
      await this.clock.wait((hasConfig ? this.options.exchangeIntervalMs : minWatchRetryMs / 4) * jitter)
    }
  }

  private isWatcher (): boolean {
    if (this.replica.getRevision() === 0) return true
    const names = this.membership.list()
      .filter((instance) => instance.dataCentre === this.self.dataCentre && this.membership.isServing(instance.name))
      .map((instance) => instance.name)
    const watchers = rankCandidates('config-watch', names).slice(0, this.options.watchersPerDataCentre)
    return names.length === 0 || watchers.includes(this.self.name)
  }

  private async runWatch (): Promise<void> {
    let retryDelayMs = minWatchRetryMs
    while (!this.isStopped) {
      if (!this.isWatcher()) {
        await this.clock.wait(maxWatchRetryMs * (0.5 + this.random.next()))
        continue
      }
      try {
        await this.watchOnce()
        retryDelayMs = minWatchRetryMs
      } catch (error) {
        this.reportFault(getErrorMessage(error))
        await this.clock.wait(retryDelayMs * (0.5 + this.random.next()))
        retryDelayMs = Math.min(retryDelayMs * 2, maxWatchRetryMs)
      }
    }
  }

  private async watchOnce (): Promise<void> {
    const state = await this.record.watch(this.storeVersion, watchTimeoutMs)
    if (state === undefined) return
    this.storeVersion = state.version
    this.replica.apply({ snapshot: state.body })
  }
}
