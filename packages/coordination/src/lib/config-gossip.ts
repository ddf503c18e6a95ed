/**
 * Distributes the configuration between processes by gossip.
 *
 * If every process watched the store, the store's load would grow with the number of processes. Only a few processes
 * in each data centre watch it; all others receive the configuration from peers. Each process has a small set of random
 * neighbours, so that it can keep its connections to them. It notifies them at once when it receives a newer revision,
 * and compares revisions with one of them at a regular interval. A change therefore propagates while the store is
 * down, and a new process gets the configuration from any peer.
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

/** Intervals and fan-out of the distribution. */
export interface GossipOptions {
  /** Mean time between two comparisons with a random neighbour, in milliseconds. */
  exchangeIntervalMs: number
  /** Number of peers that a process compares with; a peer that does not answer is replaced. */
  neighbours: number
  /** Number of processes in each data centre that watch the store. */
  watchersPerDataCentre: number
}

/** Sends revision comparisons to other processes. */
export abstract class PeerTransport<T> {
  /**
   * Sends the local revision to a peer and receives the changes that the peer has beyond it.
   *
   * @param peer - the instance to ask
   * @param revision - local revision; a peer that is behind it asks for an update itself
   * @returns the missing changes; empty if the peer has none
   */
  abstract exchange (peer: Instance, revision: number): Promise<ConfigUpdate<T>>
}

/** Keeps one replica up to date from the store and from peers. */
export class ConfigGossip<T extends object> {
  private isStopped = false
  private storeVersion = 0
  private neighbours: Instance[] = []

  /**
   * @param self - name and data centre of this instance
   * @param replica - the replica to keep up to date
   * @param record - the configuration's object in the store
   * @param reportFault - called with the error message after each failed watch
   */
  constructor (
    private readonly self: { name: string, dataCentre: string },
    private readonly replica: ConfigReplica<T>,
    private readonly record: StoreRecord<ConfigSnapshot<T>>,
    private readonly membership: Membership,
    private readonly transport: PeerTransport<T>,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: GossipOptions,
    private readonly reportFault: (message: string) => void
  ) {}

  /** Starts the comparisons and, while this process is one of the watchers of its data centre, the watch. */
  start (): void {
    this.replica.subscribe(() => { this.notifyNeighbours() })
    void this.runExchanges()
    void this.runWatch()
  }

  /** Stops both loops after their current iteration. */
  stop (): void {
    this.isStopped = true
  }

  /**
   * Compares revisions with one peer and applies the changes that it has beyond the local revision. A peer that does not
   * answer is removed from the neighbours.
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
   * Retains neighbours that are still listed at the same address, and replaces the others by random instances.
   *
   * @returns the instances that this process compares with
   */
  listNeighbours (): Instance[] {
    const kept = this.neighbours.filter((neighbour) => this.membership.find(neighbour.name)?.address === neighbour.address)
    const names = new Set([this.self.name, ...kept.map((neighbour) => neighbour.name)])
    const candidates = kept.length < this.options.neighbours
      ? this.membership.list().filter((instance) => !names.has(instance.name))
      : []
    while (kept.length < this.options.neighbours && candidates.length > 0) {
      kept.push(...candidates.splice(this.random.pickInteger(candidates.length), 1))
    }
    this.neighbours = kept
    return kept
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
