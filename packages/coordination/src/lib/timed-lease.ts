/**
 * A lease that its holder renews and that another process takes once it was given up or has seen no renewal for a whole
 * term.
 *
 * Only the steady clock of each process decides. The object's revision serves as fencing number: it grows with every
 * write, so that what a former holder writes or orders later can be told from what its successor does.
 */
import { ErrorKind, getErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import type { KindObject, KindStore } from './kind-store.js'
import { Freshness } from './kind-store.js'

/** What the store keeps of a lease. */
interface LeaseSpec {
  /** Incarnation of the holder. */
  holder: string
  /** Number of renewals, so that each one changes the object. */
  renewals: number
}

const getSpec = (object: KindObject): Partial<LeaseSpec> => (object.spec ?? {}) as Partial<LeaseSpec>

/** Holder of a lease that was given up. */
const noHolder = ''

/** One process's view of a lease. */
export class TimedLease {
  private observedRevision = 0
  private observedAtMs = 0
  private heldRevision = 0
  private renewedAtMs = -Infinity

  /**
   * @param holder - incarnation of this process
   * @param termMs - time without a renewal after which the lease may be taken, in milliseconds
   */
  constructor (
    private readonly store: KindStore,
    private readonly kind: string,
    private readonly name: string,
    private readonly holder: string,
    private readonly termMs: number,
    private readonly clock: Clock
  ) {}

  /** @returns whether this process holds the lease and renewed it so lately that no other can have taken it */
  isHeld (): boolean {
    return this.heldRevision > 0 && this.clock.now() - this.renewedAtMs < this.termMs * 0.8
  }

  /**
   * Renews the lease, or takes it if its holder has gone.
   *
   * @returns whether this process holds it now
   * @throws `store-unavailable` if the store does not say
   */
  async advance (): Promise<boolean> {
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
   * Gives the lease up, if this process holds it, so that another takes it at its next look.
   *
   * @throws `conflict` if another has taken it, `store-unavailable` if the store does not say; it then ends with its term
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

  /** Finds out after a conflict whether an earlier write of this process, whose answer was lost, was the other one. */
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
