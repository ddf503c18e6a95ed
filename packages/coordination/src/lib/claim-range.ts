/**
 * One range of idempotency keys, owned by one process at a time.
 *
 * A key is claimed by a write that is conditional on the version of the range's object, before its request runs. A
 * process that takes the range over changes the object, so the former owner can claim nothing more, however long it
 * was paused. One write carries all claims that wait, so the write rate follows the owners and not the requests.
 */
import { createError, createIdentifier, ErrorKind, getErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { mergeClaims } from './claim-records.js'
import type { ClaimEntry, ClaimHead, ClaimIndex } from './claim-records.js'
import { absentVersion } from './object-store.js'
import type { ObjectStore } from './object-store.js'
import { StoreRecord } from './store-record.js'
import type { RecordState } from './store-record.js'

const maxTailBytes = 16_384
const maxConflicts = 4
const writeBehindMs = 200
const retryMs = 1000
const maxBehind = 10_000

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

interface HeldRange<Answer> {
  state: RecordState<ClaimHead<Answer>>
  index: ClaimIndex<Answer>
}

/** Claims keys of one range and keeps their answers. */
export class ClaimRange<Answer> {
  private readonly record: StoreRecord<ClaimHead<Answer>>
  private held: HeldRange<Answer> | undefined
  /** Keys that were granted in this process and may have run here. */
  private readonly started = new Set<string>()
  private pending: Array<PendingClaim<Answer>> = []
  private behind: Array<ClaimEntry<Answer>> = []
  /** Told after the next write, whatever comes of it. */
  private waiting: Array<() => void> = []
  private isFlushing = false
  private lastWriteMs = -Infinity

  /**
   * @param store - client of the platform's object API
   * @param key - key of the range's object
   */
  constructor (
    private readonly store: ObjectStore,
    private readonly key: string,
    private readonly clock: Clock,
    private readonly options: ClaimOptions
  ) {
    this.record = new StoreRecord(store, key, clock)
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
      this.pending.push({ entry, resolve, reject })
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
      this.waiting.push(resolve)
      void this.flush()
    })
  }

  /** @returns whether the change will be written, which only an owner of the range does */
  private writeBehind (key: string, change: (entry: ClaimEntry<Answer>) => ClaimEntry<Answer>): boolean {
    const entry = this.held?.index.get(key)
    if (this.held === undefined || entry?.incarnation !== this.options.incarnation) return false
    const changed = change(entry)
    mergeClaims(this.held.index, [changed])
    this.behind.push(changed)
    if (this.behind.length === 1) this.clock.schedule(writeBehindMs, () => { void this.flush() })
    return true
  }

  private async flush (): Promise<void> {
    if (this.isFlushing) return
    this.isFlushing = true
    let conflicts = 0
    while (this.pending.length > 0 || this.behind.length > 0) {
      await this.waitForInterval()
      const batch = this.pending.splice(0)
      const answers = this.behind.splice(0)
      const waiting = this.waiting.splice(0)
      try {
        await this.writeBatch(batch, answers)
        conflicts = 0
      } catch (error) {
        this.held = undefined
        this.behind = [...answers, ...this.behind].slice(-maxBehind)
        const canRetry = getErrorKind(error) === ErrorKind.conflict && ++conflicts <= maxConflicts
        if (canRetry) this.pending.unshift(...batch)
        else this.rejectBatch(batch, error)
        if (this.pending.length === 0) break
      } finally {
        for (const resolve of waiting) resolve()
      }
    }
    this.isFlushing = false
    if (this.behind.length > 0) this.clock.schedule(retryMs, () => { void this.flush() })
  }

  private async waitForInterval (): Promise<void> {
    const waitMs = this.lastWriteMs + this.options.writeIntervalMs - this.clock.now()
    if (waitMs > 0) await this.clock.wait(waitMs)
  }

  private rejectBatch (batch: ReadonlyArray<PendingClaim<Answer>>, cause: unknown): void {
    for (const claim of batch) {
      claim.reject(createError(ErrorKind.storeUnavailable, `key range "${this.key}" could not be claimed`, { cause }))
    }
  }

  private async writeBatch (
    batch: ReadonlyArray<PendingClaim<Answer>>,
    answers: ReadonlyArray<ClaimEntry<Answer>>
  ): Promise<void> {
    const held = this.held ?? await this.load()
    const granted = new Map<string, PendingClaim<Answer>>()
    const known: Array<PendingClaim<Answer>> = []
    for (const claim of batch) {
      if (this.isFree(held, claim.entry.key) && !granted.has(claim.entry.key)) granted.set(claim.entry.key, claim)
      else known.push(claim)
    }
    const entries = [...answers, ...[...granted.values()].map((claim) => claim.entry)]
    const isClaiming = batch.length > 0
    if (entries.length > 0 || this.held === undefined) await this.append(held, entries, isClaiming)
    for (const key of granted.keys()) this.started.add(key)
    this.held = held.state.body.owner === this.options.incarnation ? held : undefined
    for (const claim of granted.values()) claim.resolve({ isGranted: true, entry: claim.entry })
    for (const claim of known) {
      claim.resolve({ isGranted: false, entry: held.index.get(claim.entry.key) as ClaimEntry<Answer> })
    }
  }

  /**
   * A claim of this very process that it never learned of was never run: its claimer was told that it failed.
   */
  private isFree (held: HeldRange<Answer>, key: string): boolean {
    const entry = held.index.get(key)
    if (entry === undefined) return true
    const isOwnLost = this.held === undefined && entry.incarnation === this.options.incarnation
    return isOwnLost && entry.answer === undefined && !this.started.has(key)
  }

  private async load (): Promise<HeldRange<Answer>> {
    const state = await this.record.read() ??
      { version: absentVersion, operations: [], body: { epoch: 0, owner: '', segments: [], tail: [] } }
    const index: ClaimIndex<Answer> = new Map()
    for (const segment of state.body.segments) {
      const stored = await this.store.get(segment.key)
      if (stored !== undefined) mergeClaims(index, JSON.parse(stored.value) as Array<ClaimEntry<Answer>>)
    }
    mergeClaims(index, state.body.tail)
    return { state, index }
  }

  /** Writes entries; a process that writes claims takes the range over, one that writes answers only does not. */
  private async append (
    held: HeldRange<Answer>,
    entries: ReadonlyArray<ClaimEntry<Answer>>,
    isClaiming: boolean
  ): Promise<void> {
    const { state } = held
    const { incarnation } = this.options
    const owner = isClaiming ? incarnation : state.body.owner
    const epoch = owner === state.body.owner ? state.body.epoch : state.body.epoch + 1
    const rotated = await this.rotate(state.body, epoch)
    const head = { epoch, owner, segments: rotated.segments, tail: [...rotated.tail, ...entries] }
    const previous = state.version === absentVersion ? undefined : state
    this.lastWriteMs = this.clock.now()
    held.state = await this.record.write(previous, head, createIdentifier())
    mergeClaims(held.index, entries)
    this.dropExpired(held)
  }

  /** Moves a full tail into a segment of its own, and leaves out segments that have expired. */
  private async rotate (head: ClaimHead<Answer>, epoch: number): Promise<Pick<ClaimHead<Answer>, 'segments' | 'tail'>> {
    const oldestMs = this.clock.getWallTime() - this.options.retentionMs
    const segments = head.segments.filter((segment) => segment.newestMs >= oldestMs)
    for (const segment of head.segments.filter((candidate) => !segments.includes(candidate))) {
      void this.removeSegment(segment.key)
    }
    const value = JSON.stringify(head.tail)
    if (value.length < maxTailBytes) return { segments, tail: head.tail }
    const key = `${this.key}/${epoch}-${createIdentifier()}`
    await this.store.put(key, value, absentVersion)
    const newestMs = Math.max(...head.tail.map((entry) => entry.atMs))
    return { segments: [...segments, { key, newestMs }], tail: [] }
  }

  private async removeSegment (key: string): Promise<void> {
    try {
      const stored = await this.store.get(key)
      if (stored !== undefined) await this.store.remove(key, stored.version)
    } catch {
      // The segment is no longer referred to; what is left of it does no harm.
    }
  }

  private dropExpired (held: HeldRange<Answer>): void {
    const oldestMs = this.clock.getWallTime() - this.options.retentionMs
    for (const [key, entry] of held.index) {
      if (entry.atMs >= oldestMs) return
      held.index.delete(key)
      this.started.delete(key)
    }
  }
}
