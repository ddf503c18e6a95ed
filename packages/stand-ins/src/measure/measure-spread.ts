/**
 * Measures how fast a configuration change reaches every process of the fleet. Runs the production replication code of
 * every process on one manual clock.
 */
import { ConfigReplica, ConfigGossip, createNextSnapshot, Membership, PeerTransport, StoreFault, StoreRecord } from '@clementineloft/coordination'
import type { ConfigSnapshot, ConfigUpdate, Instance } from '@clementineloft/coordination'
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import { DelayedStore } from './delayed-store.js'
import { computeQuantile } from './table.js'
import type { MeasuredTable } from './table.js'

const seed = 3
const dataCentres = 6
const limitMs = 30_000
const stepMs = 20
const sameRegionMs = 1
const crossRegionMs = 40
const idleSeconds = 120

interface TestDocument { teams: Record<string, number> }

interface Node {
  instance: Instance
  replica: ConfigReplica<TestDocument>
}

/** Conditions at the time of the change. */
export interface SpreadCase {
  name: string
  processes: number
  /** Whether the store goes down at the time of the change. */
  isStoreDown: boolean
  /** Whether a network partition separates the two halves of the data centres for ten seconds. */
  isPartitioned: boolean
  /** Fraction of calls between processes that are lost. */
  loss: number
}

/** Carries exchanges between replicas in memory. */
class MemoryTransport extends PeerTransport<TestDocument> {
  calls = 0

  constructor (
    private readonly fleet: SpreadFleet,
    private readonly self: Node
  ) {
    super()
  }

  override async exchange (peer: Instance, revision: number): Promise<ConfigUpdate<TestDocument>> {
    this.calls++
    return await this.fleet.exchange(this.self, peer.name, revision)
  }
}

/** All processes of one case, with their store. */
class SpreadFleet {
  readonly clock = new ManualClock()
  readonly store = new DelayedStore(this.clock, 5)
  readonly nodes = new Map<string, Node>()
  readonly transports: MemoryTransport[] = []
  isPartitioned = false
  private readonly random = new SeededRandom(seed)
  private readonly record = new StoreRecord<ConfigSnapshot<TestDocument>>(this.store, 'config', this.clock)
  private readonly first: ConfigSnapshot<TestDocument> = { revision: 1, document: { teams: {} }, changes: [] }

  constructor (private readonly options: SpreadCase) {}

  async start (): Promise<void> {
    const writing = this.record.write(undefined, this.first, 'first')
    await this.clock.advanceGradually(20, 1)
    await writing
    const instances = Array.from({ length: this.options.processes }, (_, index): Instance =>
      ({ name: `i${index}`, role: 'sidecar', address: '', dataCentre: `d${index % dataCentres}`, state: 'live' }))
    const spreads = instances.map((instance, index) => this.createSpread(instance, instances, index))
    for (const spread of spreads) spread.start()
    await this.clock.advanceGradually(4000, stepMs)
  }

  /**
   * Writes a change to the store and applies it at one process, then waits until all processes have it or the time limit
   * is reached.
   *
   * @returns delay of each process in milliseconds; `Infinity` if the change did not reach it
   */
  async applyChange (): Promise<number[]> {
    const state = await this.readState()
    const snapshot = createNextSnapshot(state.body, { teams: { a: 1 } }, 'change')
    const startedMs = this.clock.now()
    const reached = new Map<string, number>()
    for (const [name, node] of this.nodes) node.replica.subscribe(() => { reached.set(name, this.clock.now() - startedMs) })
    const writing = this.record.write(state, snapshot, 'change')
    await this.clock.advanceGradually(6, 1)
    await writing
    if (this.options.isStoreDown) this.store.fault = StoreFault.down
    this.isPartitioned = this.options.isPartitioned
    if (this.isPartitioned) this.clock.schedule(10_000, () => { this.isPartitioned = false })
    this.nodes.get('i0')?.replica.apply({ snapshot })
    while (reached.size < this.nodes.size && this.clock.now() - startedMs < limitMs) await this.clock.advanceGradually(stepMs, stepMs)
    return [...this.nodes.keys()].map((name) => reached.get(name) ?? Infinity)
  }

  /** Simulates one exchange: the caller gets the changes that it lacks, and a peer that is behind fetches from the caller. */
  async exchange (from: Node, to: string, revision: number): Promise<ConfigUpdate<TestDocument>> {
    const peer = this.nodes.get(to) as Node
    const isCrossRegion = this.getRegion(from) !== this.getRegion(peer)
    await this.clock.wait(isCrossRegion ? crossRegionMs : sameRegionMs)
    if ((isCrossRegion && this.isPartitioned) || this.random.next() < this.options.loss) throw new Error('lost')
    if (revision > peer.replica.getRevision()) {
      this.clock.schedule(isCrossRegion ? crossRegionMs : sameRegionMs, () => { peer.replica.apply(from.replica.createUpdate(peer.replica.getRevision())) })
    }
    return peer.replica.createUpdate(revision)
  }

  private async readState () {
    const reading = this.record.read()
    await this.clock.advanceGradually(20, 1)
    const state = await reading
    if (state === undefined) throw new Error('the store holds no configuration')
    return state
  }

  private getRegion (node: Node): number {
    return Number(node.instance.dataCentre.slice(1)) % 2
  }

  private createSpread (instance: Instance, instances: Instance[], index: number): ConfigGossip<TestDocument> {
    const node = { instance, replica: new ConfigReplica<TestDocument>() }
    this.nodes.set(instance.name, node)
    const membership = new Membership()
    membership.apply({ version: '1', instances })
    const transport = new MemoryTransport(this, node)
    this.transports.push(transport)
    return new ConfigGossip(
      instance, node.replica, this.record, membership, transport, this.clock, new SeededRandom(seed + index),
      { exchangeIntervalMs: 2000, neighbours: 6, watchersPerDataCentre: 2 }, () => {}
    )
  }
}

/** Results of one case. */
export interface SpreadFigures {
  p50Ms: number
  lastMs: number
  exchangesPerSecond: number
  storeCallsPerSecond: number
  storeCallsAfterReturn: number
}

/** Runs one case: a change, an idle period, then the recovery of the store if it was down. */
export const runSpread = async (options: SpreadCase): Promise<SpreadFigures> => {
  const fleet = new SpreadFleet(options)
  await fleet.start()
  const reached = await fleet.applyChange()
  const countStore = (): number => Object.values(fleet.store.calls).reduce((sum, value) => sum + value, 0)
  const countExchanges = (): number => fleet.transports.reduce((sum, transport) => sum + transport.calls, 0)
  const [storeBefore, exchangesBefore] = [countStore(), countExchanges()]
  await fleet.clock.advanceGradually(idleSeconds * 1000, stepMs)
  const [storeAfter, exchangesAfter] = [countStore(), countExchanges()]
  fleet.store.fault = StoreFault.none
  await fleet.clock.advanceGradually(1000, stepMs)
  return {
    p50Ms: computeQuantile(reached, 0.5),
    lastMs: Math.max(...reached),
    exchangesPerSecond: (exchangesAfter - exchangesBefore) / idleSeconds / options.processes,
    storeCallsPerSecond: (storeAfter - storeBefore) / idleSeconds,
    storeCallsAfterReturn: countStore() - storeAfter
  }
}

const cases: SpreadCase[] = [
  { name: 'store up', processes: 300, isStoreDown: false, isPartitioned: false, loss: 0 },
  { name: 'store up', processes: 1040, isStoreDown: false, isPartitioned: false, loss: 0 },
  { name: 'store down from the change on', processes: 1040, isStoreDown: true, isPartitioned: false, loss: 0 },
  { name: 'store down, a third of the calls lost', processes: 1040, isStoreDown: true, isPartitioned: false, loss: 0.33 },
  { name: 'store down, regions partitioned for 10 s', processes: 1040, isStoreDown: true, isPartitioned: true, loss: 0 }
]

/** Measures all cases. */
export const measureSpread = async (): Promise<MeasuredTable> => {
  const rows: Array<Array<string | number>> = []
  for (const options of cases) {
    const figures = await runSpread(options)
    rows.push([
      options.name, options.processes, figures.p50Ms.toFixed(0), figures.lastMs.toFixed(0), figures.exchangesPerSecond.toFixed(2),
      figures.storeCallsPerSecond.toFixed(2), figures.storeCallsAfterReturn
    ])
  }
  return {
    title: 'Configuration: time until a change is in force everywhere',
    note: `The production replication code of every process on one manual clock; ${sameRegionMs} ms within a region, ${crossRegionMs} ms between; 2 watchers in each of ${dataCentres} data centres, 6 neighbours, an exchange every 2 s; seed ${seed}. Bound: 13 000 ms.`,
    columns: ['case', 'processes', 'p50 ms', 'last ms', 'exchanges/s per process', 'store calls/s, all', 'store calls in the first second after its return'],
    rows
  }
}
