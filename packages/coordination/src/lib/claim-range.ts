/**
 * One range of idempotency keys, owned by one process at a time.
 *
 * Before a request runs, its key is claimed by a write that is conditional on the version of the range's object.
 * Without this, an owner that resumes after a pause could grant a key that its successor has granted already. A
 * takeover changes the object's version, so every later write of the former owner fails, however long it was paused.
 * One write carries all pending claims, so the write rate grows with the number of owners, not of requests.
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

/** Identity of the claiming process, retention of keys and write rate. */
export interface ClaimOptions {
  /** Name of the endpoint that is recorded with each claim. */
  holder: string
  /** Identity of this process; it differs after each restart. */
  incarnation: string
  /** Time for which keys are retained, in milliseconds. */
  retentionMs: number
  /** Minimum time between two writes of a range, in milliseconds. */
  writeIntervalMs: number
}

/** Outcome of a claim. */
export interface ClaimResult<Answer> {
  /** Whether this process may run the request; `true` for at most one claim of a key, until it is released or expires. */
  isGranted: boolean
  /** The claim that is in effect for the key. */
  entry: ClaimEntry<Answer>
}

interface PendingClaim<Answer> {
  entry: ClaimEntry<Answer>
  resolve: (result: ClaimResult<Answer>) => void
  reject: (error: unknown) => void
}

/** Entries that go into one conditional write. */
interface ClaimBatch<Answer> {
  claims: Array<PendingClaim<Answer>>
  /** Answers and releases of claims that were granted earlier. */
  changes: Array<ClaimEntry<Answer>>
  /** Called once the batch has been written, or the attempt to write it has failed. */
  waiters: Array<() => void>
}

/** Claims keys of one range and stores the answers to their requests. */
export class ClaimRange<Answer> {
  private readonly log: ClaimLog<Answer>
  /** The log as last written; `undefined` unless this process owns the range. */
  private held: LoadedLog<Answer> | undefined
  /** Claims granted to this process, whose requests may have run here; retained after another process takes over. */
  private readonly granted = new Map<string, ClaimEntry<Answer>>()
  /** Entries that wait for the next write. */
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
   * @param key - the idempotency key, prefixed with its scope
   * @param fingerprint - digest of the request
   * @returns whether the key was granted, and the claim in effect
   * @throws `store-unavailable` with outcome `not-run` if the claim was not written; this process then never runs the
   *   request
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
   * Stores the answer to return for repeated requests. It is written with the next batch of claims, or by a write
   * of its own after `writeBehindDelayMs`.
   *
   * @param key - a key that was granted to this process
   * @param answer - the answer to the request
   */
  recordAnswer (key: string, answer: Answer): void {
    this.writeBehind(key, (entry) => ({ ...entry, answer }))
  }

  /**
   * Releases a claim whose request did not run and never will, so that another process can claim the key.
   *
   * @param key - a key that was granted to this process
   * @returns a promise that resolves once the release has been written, or the first attempt to write it has failed; a
   *   failed write is retried in the background
   */
  async release (key: string): Promise<void> {
    if (!this.writeBehind(key, (entry) => ({ ...entry, isReleased: true }))) return
    await new Promise<void>((resolve) => {
      this.next.waiters.push(resolve)
      void this.flush()
    })
  }

  /** @returns whether the change was queued; only changes to keys that were granted to this process are */
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

  /** Puts a batch that was not written ahead of the entries that wait for the next write. */
  private mergeIntoNext (batch: ClaimBatch<Answer>): void {
    this.next = {
      claims: [...batch.claims, ...this.next.claims],
      changes: [...batch.changes, ...this.next.changes].slice(-maxPendingChanges),
      waiters: [...batch.waiters, ...this.next.waiters]
    }
  }

  /** Rejects the claims of a batch that was not written; its answers and releases stay queued for a later write. */
  private refuse (batch: ClaimBatch<Answer>, cause: unknown): void {
    this.mergeIntoNext({ claims: [], changes: batch.changes, waiters: [] })
    for (const claim of batch.claims) {
      claim.reject(createError(ErrorKind.storeUnavailable, `claim in key range "${this.key}" was not written`, { cause }))
    }
    for (const resolve of batch.waiters) resolve()
  }

  private async waitForInterval (): Promise<void> {
    const waitMs = this.lastWriteMs + this.options.writeIntervalMs - this.clock.now()
    if (waitMs > 0) await this.clock.wait(waitMs)
  }

  /** Writes a batch. Writing a claim takes ownership of the range; writing only answers and releases does not. */
  private async writeBatch ({ claims, changes }: ClaimBatch<Answer>): Promise<void> {
    const { incarnation } = this.options
    const log = this.held !== undefined && this.isCurrentFor(claims, this.held) ? this.held : await this.log.read()
    const grants = new Map<string, PendingClaim<Answer>>()
    const duplicates: Array<PendingClaim<Answer>> = []
    for (const claim of claims) {
      if (this.isClaimable(log, claim.entry.key) && !grants.has(claim.entry.key)) grants.set(claim.entry.key, claim)
      else duplicates.push(claim)
    }
    const entries = [...changes, ...[...grants.values()].map((claim) => claim.entry)]
    if (entries.length > 0 || this.held === undefined) {
      this.lastWriteMs = this.clock.now()
      await this.log.append(log, entries, claims.length > 0 ? incarnation : log.state.body.owner)
      removeExpired(this.granted, this.log.getCutoffMs())
    }
    for (const [key, claim] of grants) this.granted.set(key, claim.entry)
    this.held = log.state.body.owner === incarnation ? log : undefined
    for (const claim of grants.values()) claim.resolve({ isGranted: true, entry: claim.entry })
    for (const claim of duplicates) {
      claim.resolve({ isGranted: false, entry: log.index.get(claim.entry.key) as ClaimEntry<Answer> })
    }
  }

  /**
   * Tells whether the log in memory suffices to decide the claims. It does not for a key claimed by another process
   * without an answer: that process may have written an answer or a release since, so the log is read again.
   */
  private isCurrentFor (claims: ReadonlyArray<PendingClaim<Answer>>, log: LoadedLog<Answer>): boolean {
    return claims.every((claim) => {
      const existing = log.index.get(claim.entry.key)
      return existing === undefined || existing.answer !== undefined || existing.incarnation === this.options.incarnation
    })
  }

  /**
   * Tells whether a key may be granted. An entry of this process that it does not know as granted comes from a write
   * whose answer was lost: its caller got an error and the request did not run, so the key may be granted.
   */
  private isClaimable (log: LoadedLog<Answer>, key: string): boolean {
    const entry = log.index.get(key)
    if (entry === undefined) return true
    const isOwnFailedClaim = this.held === undefined && entry.incarnation === this.options.incarnation
    return isOwnFailedClaim && entry.answer === undefined && !this.granted.has(key)
  }
}
