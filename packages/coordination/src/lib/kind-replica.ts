/**
 * A replica of all objects of a kind, kept up to date by a watch.
 *
 * Stale watches are cheap for the store but may miss changes, and a watch sent while the store was unresponsive may
 * never be answered. A process that watches the latest state therefore sends a checksum of its replica to the others.
 * A replica that still differs after the time that a change takes through a stale watch lists the kind again and
 * restarts its watch.
 *
 * While the store does not answer, the replica is retained unchanged, so an outage removes no objects. For a short time
 * after the store has recovered, removals are deferred, since objects that expired during the outage are written again. An
 * outage that fits between two answers of the store shows only in the removal of many objects at once; these are deferred
 * as well.
 */
import { getErrorMessage } from '@clementineloft/kernel'
import type { Clock, RandomSource } from '@clementineloft/kernel'
import type { Freshness, KindObject, KindStore } from './kind-store.js'

/** Intervals and freshness of a replica. */
export interface KindReplicaOptions {
  /** Maximum duration of one watch, in milliseconds. */
  waitMs: number
  /** Pause after the first failed call, in milliseconds; it doubles with each further failure. */
  shortestPauseMs: number
  /** Maximum pause after a failed call, in milliseconds. */
  longestPauseMs: number
  /** Pause after an answer with changes, in milliseconds, so that the next answer batches changes in quick succession. */
  coalesceMs: number
  /** Required freshness of watches; lists always show the latest state. */
  freshness: Freshness
  /** Time that a change may take through a stale watch before the kind is listed again, in milliseconds. */
  relistDelayMs: number
  /** Time after recovery of the store for which removals are deferred, in milliseconds. */
  deferRemovalsMs: number
}

const checksumModulus = 2 ** 31
/** Minimum fraction and number of objects that one answer removes for the removals to be deferred. */
const massRemoval = { fraction: 0.1, count: 3 } as const

/** Receives the events of a replica. */
export interface KindReplicaListener {
  /** Called after each change of the replica. */
  handleChange (): void
  /** Called when the store stops answering, with the error message, and when it answers again. */
  handleConnection (isConnected: boolean, reason: string): void
}

/** Replicates the objects of one kind. */
export class KindReplica {
  private objects = new Map<string, KindObject>()
  private revision = 0
  private isListed = false
  private isConnected = true
  private isStopped = false
  private deferRemovalsUntilMs = 0
  private pauseMs: number
  private readonly deferredRemovals = new Set<string>()
  private lastPeerChecksum: number | undefined
  /** Aborts the pending watch. */
  private pendingWatch: AbortController | undefined

  constructor (
    private readonly store: KindStore,
    private readonly kind: string,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: KindReplicaOptions,
    private readonly listener: KindReplicaListener
  ) {
    this.pauseMs = options.shortestPauseMs
  }

  /** @returns all objects of the replica */
  list (): KindObject[] {
    return [...this.objects.values()]
  }

  /** @returns the object of that name, or `undefined` */
  find (name: string): KindObject | undefined {
    return this.objects.get(name)
  }

  /** @returns whether the kind has been listed completely at least once */
  hasListed (): boolean {
    return this.isListed
  }

  /** @returns the revision up to which the replica includes all changes */
  getRevision (): number {
    return this.revision
  }

  /** @returns the sum of the objects' revisions, modulo 2^31; equal for two replicas with the same objects */
  computeChecksum (): number {
    let sum = 0
    for (const { revision } of this.objects.values()) sum = (sum + revision) % checksumModulus
    return sum
  }

  /**
   * Compares the replica with that of a process that watches the latest state. If they still differ after the
   * time that a change may take through a stale watch, the kind is listed again and the watch restarted. Successive calls
   * with the same checksum have no further effect.
   *
   * @param checksum - checksum of the other replica
   */
  compareChecksum (checksum: number): void {
    if (!this.isListed || checksum === this.lastPeerChecksum) return
    this.lastPeerChecksum = checksum
    if (checksum === this.computeChecksum()) return
    this.clock.schedule(this.options.relistDelayMs, () => {
      if (this.isStopped || checksum !== this.lastPeerChecksum || checksum === this.computeChecksum()) return
      this.refresh().then(
        () => { this.pendingWatch?.abort() },
        (error: unknown) => { this.listener.handleConnection(false, getErrorMessage(error)) }
      )
    })
  }

  /** Stops replication and aborts the pending watch. */
  stop (): void {
    this.isStopped = true
    this.pendingWatch?.abort()
  }

  /** Keeps the replica up to date until it is stopped. */
  async follow (): Promise<void> {
    let needsList = true
    while (!this.isStopped) {
      try {
        if (needsList) await this.refresh()
        needsList = !(await this.watchOnce())
      } catch (error) {
        await this.pause(getErrorMessage(error))
      }
    }
  }

  private async refresh (): Promise<void> {
    const listed = new Map<string, KindObject>()
    let firstRevision: number | undefined
    let after: string | undefined
    do {
      const page = await this.store.list(this.kind, after)
      // Changes made while later pages are read may be missing from earlier pages, so the watch begins at the first page.
      firstRevision ??= page.revision
      for (const object of page.objects) listed.set(object.name, object)
      after = page.nextAfter
    } while (after !== undefined)
    this.recordResponse()
    if (firstRevision < this.revision) return
    const missing = [...this.objects.keys()].filter((name) => !listed.has(name))
    this.checkMassRemoval(missing.length)
    for (const name of missing) this.removeOrDefer(name)
    for (const object of listed.values()) this.put(object)
    this.revision = firstRevision
    this.isListed = true
    this.listener.handleChange()
  }

  /** @returns whether the store still had all changes since the replica's revision; if not, the kind must be listed */
  private async watchOnce (): Promise<boolean> {
    const { waitMs, freshness } = this.options
    this.pendingWatch = new AbortController()
    const { changes, revision } = await this.store.watch(this.kind, this.revision, waitMs, freshness, this.pendingWatch.signal)
    this.recordResponse()
    if (changes === undefined) return false
    this.checkMassRemoval(changes.filter(({ object, isDeleted }) => isDeleted && this.objects.has(object.name)).length)
    for (const { object, isDeleted } of changes) {
      const held = this.objects.get(object.name)
      if (held !== undefined && held.revision > object.revision) continue
      if (isDeleted) this.removeOrDefer(object.name)
      else this.put(object)
    }
    this.revision = Math.max(this.revision, revision)
    if (changes.length === 0) return true
    this.listener.handleChange()
    await this.clock.wait(this.options.coalesceMs)
    return true
  }

  private put (object: KindObject): void {
    const held = this.objects.get(object.name)
    if (held !== undefined && held.revision > object.revision) return
    this.deferredRemovals.delete(object.name)
    this.objects.set(object.name, object)
  }

  /** Defers all removals for a while if one answer removes many objects. */
  private checkMassRemoval (count: number): void {
    if (count < massRemoval.count || count < this.objects.size * massRemoval.fraction) return
    this.deferRemovalsUntilMs = Math.max(this.deferRemovalsUntilMs, this.clock.now() + this.options.deferRemovalsMs)
  }

  private removeOrDefer (name: string): void {
    const deferMs = this.deferRemovalsUntilMs - this.clock.now()
    if (deferMs <= 0) {
      this.objects.delete(name)
      return
    }
    if (this.deferredRemovals.has(name)) return
    this.deferredRemovals.add(name)
    this.clock.schedule(deferMs, () => {
      if (!this.deferredRemovals.delete(name)) return
      this.objects.delete(name)
      this.listener.handleChange()
    })
  }

  private recordResponse (): void {
    this.pauseMs = this.options.shortestPauseMs
    if (this.isConnected) return
    this.isConnected = true
    this.deferRemovalsUntilMs = this.clock.now() + this.options.deferRemovalsMs
    this.listener.handleConnection(true, `the store answers calls for kind "${this.kind}" again`)
  }

  private async pause (reason: string): Promise<void> {
    if (this.isConnected) {
      this.isConnected = false
      this.listener.handleConnection(false, reason)
    }
    await this.clock.wait(this.pauseMs * (0.75 + this.random.next() / 2))
    this.pauseMs = Math.min(this.pauseMs * 2, this.options.longestPauseMs)
  }
}
