/**
 * A local copy of all objects of a kind, kept up to date by a watch.
 *
 * Watches may be stale, which costs the store little: a process that watches the latest state tells the others a
 * checksum of what it holds, and who then differs for longer than the news takes lists the kind anew and watches anew: a
 * watch sent while the store was silent may never be answered.
 *
 * While the store does not answer, the copy stays as it is: silence removes nothing. After the store has come back,
 * removals are held for a moment, since entries that lapsed while it was away are written again.
 */
import { getErrorMessage } from '@clementineloft/kernel'
import type { Clock, RandomSource } from '@clementineloft/kernel'
import type { Freshness, KindObject, KindStore } from './kind-store.js'

/** Times of a replica. */
export interface KindReplicaOptions {
  /** Longest wait of one watch, in milliseconds. */
  waitMs: number
  /** First pause after a failed call, in milliseconds; doubles up to the longest. */
  shortestPauseMs: number
  longestPauseMs: number
  /** Pause after an answer with changes, in milliseconds, so that changes in quick succession come in one answer. */
  gatherMs: number
  /** How fresh watches must be; lists are always the latest. */
  freshness: Freshness
  /** Time that news may take through a stale watch before the kind is listed, in milliseconds. */
  catchUpMs: number
  /** How long removals are held after the store has come back, in milliseconds. */
  holdRemovalsMs: number
}

const checksumModulus = 2 ** 31

/** What a replica tells its owner. */
export interface KindReplicaListener {
  /** Called after each change of the copy. */
  handleChange (): void
  /** Called when the store stops answering and when it answers again. */
  handleConnection (isConnected: boolean, reason: string): void
}

/** Follows one kind. */
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
  /** Ends the watch that waits at present. */
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

  /** @returns all objects of the copy */
  list (): KindObject[] {
    return [...this.objects.values()]
  }

  /** @returns one object, or `undefined` */
  find (name: string): KindObject | undefined {
    return this.objects.get(name)
  }

  /** @returns whether the kind has been read whole at least once */
  hasListed (): boolean {
    return this.isListed
  }

  /** @returns the revision up to which the copy is known to be complete */
  getRevision (): number {
    return this.revision
  }

  /** @returns a number that is the same for two copies with the same objects */
  computeChecksum (): number {
    let sum = 0
    for (const { revision } of this.objects.values()) sum = (sum + revision) % checksumModulus
    return sum
  }

  /**
   * Compares the copy with that of a process that watches the latest state, once for each of its states.
   *
   * @param checksum - checksum of the other copy
   */
  noteChecksum (checksum: number): void {
    if (!this.isListed || checksum === this.lastPeerChecksum) return
    this.lastPeerChecksum = checksum
    if (checksum === this.computeChecksum()) return
    this.clock.schedule(this.options.catchUpMs, () => {
      if (this.isStopped || checksum !== this.lastPeerChecksum || checksum === this.computeChecksum()) return
      this.refresh().then(
        () => { this.pendingWatch?.abort() },
        (error: unknown) => { this.listener.handleConnection(false, getErrorMessage(error)) }
      )
    })
  }

  /** Ends the following. */
  stop (): void {
    this.isStopped = true
    this.pendingWatch?.abort()
  }

  /** Follows the kind until it is stopped. */
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
      // Changes after the first page was read may be missing from it, so the watch begins there.
      firstRevision ??= page.revision
      for (const object of page.objects) listed.set(object.name, object)
      after = page.nextAfter
    } while (after !== undefined)
    this.recordResponse()
    if (firstRevision < this.revision) return
    for (const name of this.objects.keys()) {
      if (!listed.has(name)) this.removeOrDefer(name)
    }
    for (const object of listed.values()) this.put(object)
    this.revision = firstRevision
    this.isListed = true
    this.listener.handleChange()
  }

  /** @returns whether the history reached back far enough */
  private async watchOnce (): Promise<boolean> {
    const { waitMs, freshness } = this.options
    this.pendingWatch = new AbortController()
    const { changes, revision } = await this.store.watch(this.kind, this.revision, waitMs, freshness, this.pendingWatch.signal)
    this.recordResponse()
    if (changes === undefined) return false
    for (const { object, isDeleted } of changes) {
      const held = this.objects.get(object.name)
      if (held !== undefined && held.revision > object.revision) continue
      if (isDeleted) this.removeOrDefer(object.name)
      else this.put(object)
    }
    this.revision = Math.max(this.revision, revision)
    if (changes.length === 0) return true
    this.listener.handleChange()
    await this.clock.wait(this.options.gatherMs)
    return true
  }

  private put (object: KindObject): void {
    const held = this.objects.get(object.name)
    if (held !== undefined && held.revision > object.revision) return
    this.deferredRemovals.delete(object.name)
    this.objects.set(object.name, object)
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
    this.deferRemovalsUntilMs = this.clock.now() + this.options.holdRemovalsMs
    this.listener.handleConnection(true, `"${this.kind}" is read again`)
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
