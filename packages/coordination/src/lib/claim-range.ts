/**
 * One range of idempotency keys, owned by one process at a time.
 *
 * A key is claimed by a write that is conditional on the version of the range's object, before its request runs. A
 * process that takes the range over changes the object, so the former owner can claim nothing more, however long it
 * was paused. One write carries all claims that wait, so the write rate follows the owners and not the requests.
 */
import { createError, ErrorKind, getErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { ClaimLog } from './claim-log.js'
import type { LoadedLog } from './claim-log.js'
import { mergeClaims, removeExpired } from './claim-records.js'
import type { ClaimEntry } from './claim-records.js'
import type { ObjectStore } from './object-store.js'

const maxConflictRetries = 4
const writeBehindDelayMs = 200
const retryDelayMs = 1000
const maxPendingChanges = 10_000

/** Who owns ranges in this process, and how keys are kept. */
export interface ClaimOptions {
  holder: string
  incarnation: string
  /** How long keys are remembered, in milliseconds. */
  retentionMs: number
  /** Least time between two writes of a range, in milliseconds. */
  writeIntervalMs: number
}

/** What became of a claim. */
export interface ClaimResult<Answer> {
  /** Whether this process may run the request; true once for each key in the life of the range. */
  isGranted: boolean
  /** The claim that stands. */
  entry: ClaimEntry<Answer>
}

interface PendingClaim<Answer> {
  entry: ClaimEntry<Answer>
  resolve: (result: ClaimResult<Answer>) => void
  reject: (error: unknown) => void
}

/** What one write takes along. */
interface ClaimBatch<Answer> {
  claims: Array<PendingClaim<Answer>>
  /** Answers and releases. */
  changes: Array<ClaimEntry<Answer>>
  /** Told when the batch has been written, or could not be written at once. */
  waiters: Array<() => void>
}

/** Claims keys of one range and keeps their answers. */
export class ClaimRange<Answer> {
  private readonly log: ClaimLog<Answer>
  /** The log, while this process owns the range. */
  private held: LoadedLog<Answer> | undefined
  /** Claims that were granted in this process, whose requests may have run here; kept when the range is lost. */
  private readonly granted = new Map<string, ClaimEntry<Answer>>()
  /** What the next write takes along. */
  private next: ClaimBatch<Answer> = { claims: [], changes: [], waiters: [] }
  private isFlushing = false
  private lastWriteMs = -Infinity

  /**
   * @param store - client of the platform's object API
   * @param key - key of the range's object
   */
  constructor (
    store: ObjectStore,
    private readonly key: string,
    private readonly clock: Clock,
    private readonly options: ClaimOptions
  ) {
    this.log = new ClaimLog(store, key, clock, options.retentionMs)
  }

  /**
   * Claims a key.
   *
   * @param key - the idempotency key, with what scopes it
   * @param fingerprint - digest of the request
   * @throws `store-unavailable`, with outcome `not-run`; this process then never runs the request
   */
  claim (key: string, fingerprint: string): Promise<ClaimResult<Answer>> {
    const { holder, incarnation } = this.options
    const entry = { key, fingerprint, holder, incarnation, atMs: this.clock.getWallTime() }
    return new Promise((resolve, reject) => {
      this.next.claims.push({ entry, resolve, reject })
      void this.flush()
    })
  }

  /**
   * Keeps an answer for repeats; it is written with the next batch.
   *
   * @param key - a key that was granted to this process
   * @param answer - what repeats shall receive
   */
  recordAnswer (key: string, answer: Answer): void {
    this.writeBehind(key, (entry) => ({ ...entry, answer }))
  }

  /**
   * Gives up a claim whose request did not run and never will.
   *
   * @param key - a key that was granted to this process
   * @returns a promise that resolves when the store has been told, or could not be told at once; another process can
   *   then claim the key
   */
  async release (key: string): Promise<void> {
    if (!this.writeBehind(key, (entry) => ({ ...entry, isReleased: true }))) return
    await new Promise<void>((resolve) => {
      this.next.waiters.push(resolve)
      void this.flush()
    })
  }

  /** @returns whether the change will be written, which only the process that was granted the key does */
  private writeBehind (key: string, change: (entry: ClaimEntry<Answer>) => ClaimEntry<Answer>): boolean {
    const entry = this.granted.get(key)
    if (entry === undefined) return false
    const changed = change(entry)
    if (this.held !== undefined) mergeClaims(this.held.index, [changed])
    if (changed.isReleased === true) this.granted.delete(key)
    this.next.changes.push(changed)
    if (this.next.changes.length === 1) this.clock.schedule(writeBehindDelayMs, () => { void this.flush() })
    return true
  }

  private async flush (): Promise<void> {
    if (this.isFlushing) return
    this.isFlushing = true
    let conflicts = 0
    let canContinue = true
    while (canContinue && this.hasPendingWrites()) {
      await this.waitForInterval()
      const batch = this.next
      this.next = { claims: [], changes: [], waiters: [] }
      try {
        await this.writeBatch(batch)
        conflicts = 0
        for (const resolve of batch.waiters) resolve()
      } catch (error) {
        this.held = undefined
        const canRetry = getErrorKind(error) === ErrorKind.conflict && ++conflicts <= maxConflictRetries
        if (canRetry) this.mergeIntoNext(batch)
        else this.refuse(batch, error)
        canContinue = canRetry || this.next.claims.length > 0
      }
    }
    this.isFlushing = false
    if (this.next.changes.length > 0) this.clock.schedule(retryDelayMs, () => { void this.flush() })
  }

  private hasPendingWrites (): boolean {
    return this.next.claims.length > 0 || this.next.changes.length > 0
  }

  /** Lets the next write take a whole batch along. */
  private mergeIntoNext (batch: ClaimBatch<Answer>): void {
    this.next = {
      claims: [...batch.claims, ...this.next.claims],
      changes: [...batch.changes, ...this.next.changes].slice(-maxPendingChanges),
      waiters: [...batch.waiters, ...this.next.waiters]
    }
  }

  /** Refuses the claims of a batch that could not be written; its answers and releases are written later. */
  private refuse (batch: ClaimBatch<Answer>, cause: unknown): void {
    this.mergeIntoNext({ claims: [], changes: batch.changes, waiters: [] })
    for (const claim of batch.claims) {
      claim.reject(createError(ErrorKind.storeUnavailable, `key range "${this.key}" could not be claimed`, { cause }))
    }
    for (const resolve of batch.waiters) resolve()
  }

  private async waitForInterval (): Promise<void> {
    const waitMs = this.lastWriteMs + this.options.writeIntervalMs - this.clock.now()
    if (waitMs > 0) await this.clock.wait(waitMs)
  }

  /** Writes a batch; a process that writes claims takes the range over, one that writes answers only does not. */
  private async writeBatch ({ claims, changes }: ClaimBatch<Answer>): Promise<void> {
    const { incarnation } = this.options
    const log = this.held !== undefined && this.isCurrentFor(claims, this.held) ? this.held : await this.log.read()
    const newlyGranted = new Map<string, PendingClaim<Answer>>()
    const duplicates: Array<PendingClaim<Answer>> = []
    for (const claim of claims) {
      if (this.isClaimable(log, claim.entry.key) && !newlyGranted.has(claim.entry.key)) newlyGranted.set(claim.entry.key, claim)
      else duplicates.push(claim)
    }
    const entries = [...changes, ...[...newlyGranted.values()].map((claim) => claim.entry)]
    if (entries.length > 0 || this.held === undefined) {
      this.lastWriteMs = this.clock.now()
      await this.log.append(log, entries, claims.length > 0 ? incarnation : log.state.body.owner)
      removeExpired(this.granted, this.log.getCutoffMs())
    }
    for (const [key, claim] of newlyGranted) this.granted.set(key, claim.entry)
    this.held = log.state.body.owner === incarnation ? log : undefined
    for (const claim of newlyGranted.values()) claim.resolve({ isGranted: true, entry: claim.entry })
    for (const claim of duplicates) {
      claim.resolve({ isGranted: false, entry: log.index.get(claim.entry.key) as ClaimEntry<Answer> })
    }
  }

  /** Another process may have written an answer or a release since its claim was read, so that claim is read again. */
  private isCurrentFor (claims: ReadonlyArray<PendingClaim<Answer>>, log: LoadedLog<Answer>): boolean {
    return claims.every((claim) => {
      const existing = log.index.get(claim.entry.key)
      return existing === undefined || existing.answer !== undefined || existing.incarnation === this.options.incarnation
    })
  }

  /**
   * A claim of this very process that it never learned of was never run: its claimer was told that it failed.
   */
  private isClaimable (log: LoadedLog<Answer>, key: string): boolean {
    const entry = log.index.get(key)
    if (entry === undefined) return true
    const isOwnFailedClaim = this.held === undefined && entry.incarnation === this.options.incarnation
    return isOwnFailedClaim && entry.answer === undefined && !this.granted.has(key)
  }
}
