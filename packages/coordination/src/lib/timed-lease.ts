/**
 * A lease with a term: its holder renews it, and another process may take it once it was released or that process has
 * observed no renewal for a whole term.
 *
 * Each process measures the term on its own monotonic clock, so wall clocks need not agree. The object's revision
 * serves as fencing token: it grows with every write, so writes and orders of a former holder can be told from those
 * of its successor.
 */
import { ErrorKind, getErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import type { KindObject, KindStore } from './kind-store.js'
import { Freshness } from './kind-store.js'

/** The stored state of a lease. */
interface LeaseSpec {
  /** Incarnation of the holder. */
  holder: string
  /** Revision that the write replaces, so that each renewal changes the object. */
  renewals: number
}

const getSpec = (object: KindObject): Partial<LeaseSpec> => (object.spec ?? {}) as Partial<LeaseSpec>

/** Value of `holder` after a release. */
const noHolder = ''

/** The lease as one process sees it. */
export class TimedLease {
  private observedRevision = 0
  private observedAtMs = 0
  private heldRevision = 0
  private renewedAtMs = -Infinity

  /**
   * @param holder - incarnation of this process
   * @param kind - kind of the lease's object
   * @param name - name of the lease's object
   * @param termMs - time without a renewal after which another process may take the lease, in milliseconds
   */
  constructor (
    private readonly store: KindStore,
    private readonly kind: string,
    private readonly name: string,
    private readonly holder: string,
    private readonly termMs: number,
    private readonly clock: Clock
  ) {}

  /** @returns whether this process holds the lease and renewed it recently enough that no other can have taken it */
  isHeld (): boolean {
    return this.heldRevision > 0 && this.clock.now() - this.renewedAtMs < this.termMs * 0.8
  }

  /**
   * Renews the lease, or takes it if it was released or its term has passed without a renewal.
   *
   * @returns whether this process holds the lease now
   * @throws `store-unavailable` if the store does not answer
   */
  async renewOrAcquire (): Promise<boolean> {
    const startedMs = this.clock.now()
    try {
      if (this.heldRevision > 0) return await this.write(this.heldRevision, startedMs)
      return await this.acquire(startedMs)
    } catch (error) {
      if (getErrorKind(error) !== ErrorKind.conflict) throw error
      return await this.resolveConflict(startedMs)
    }
  }

  /**
   * Releases the lease, if this process holds it, so that another process can take it without waiting for its term.
   *
   * @throws `conflict` if another process has taken it; `store-unavailable` if the store does not answer, in which case
   *   the lease may last until its term ends
   */
  async release (): Promise<void> {
    const revision = this.heldRevision
    if (revision === 0) return
    this.heldRevision = 0
    const spec: LeaseSpec = { holder: noHolder, renewals: revision }
    await this.store.replace(this.kind, this.name, spec, revision)
  }

  private async acquire (startedMs: number): Promise<boolean> {
    const object = await this.store.read(this.kind, this.name, Freshness.stale)
    if (object === undefined) return await this.write(0, startedMs)
    if (getSpec(object).holder === noHolder) return await this.write(object.revision, startedMs)
    if (object.revision !== this.observedRevision) {
      this.observedRevision = object.revision
      this.observedAtMs = startedMs
      return false
    }
    if (startedMs - this.observedAtMs < this.termMs) return false
    return await this.write(object.revision, startedMs)
  }

  private async write (revision: number, startedMs: number): Promise<boolean> {
    const spec: LeaseSpec = { holder: this.holder, renewals: revision }
    const object = revision === 0
      ? await this.store.create(this.kind, this.name, spec)
      : await this.store.replace(this.kind, this.name, spec, revision)
    this.recordRenewal(object.revision, startedMs)
    return true
  }

  /** After a conflict, finds out whether it was caused by an earlier write of this process whose answer was lost. */
  private async resolveConflict (startedMs: number): Promise<boolean> {
    const object = await this.store.read(this.kind, this.name)
    if (object !== undefined && getSpec(object).holder === this.holder) {
      this.recordRenewal(object.revision, startedMs)
      return true
    }
    this.heldRevision = 0
    this.observedRevision = object?.revision ?? 0
    this.observedAtMs = startedMs
    return false
  }

  private recordRenewal (revision: number, startedMs: number): void {
    this.heldRevision = revision
    this.renewedAtMs = startedMs
  }
}
