/**
 * The log of one key range in the store: a head object with the latest entries, and immutable segments with older ones.
 *
 * Every write of the head is conditional on the version that was read, so of two concurrent writers only one succeeds.
 * Entries move from the head into a segment once the head's tail is full, which bounds the size of each write.
 */
import { createIdentifier, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { mergeClaims, removeExpired } from './claim-records.js'
import type { ClaimEntry, ClaimHead, ClaimIndex } from './claim-records.js'
import { absentVersion } from './object-store.js'
import type { ObjectStore } from './object-store.js'
import { StoreRecord } from './store-record.js'
import type { RecordState } from './store-record.js'

const maxTailBytes = 16_384

/** The log as one process has loaded it. */
export interface LoadedLog<Answer> {
  state: RecordState<ClaimHead<Answer>>
  index: ClaimIndex<Answer>
}

/** Reads and appends to the log of one range. */
export class ClaimLog<Answer> {
  private readonly record: StoreRecord<ClaimHead<Answer>>

  /**
   * @param store - client of the platform's object API
   * @param key - key of the head object
   * @param retentionMs - time for which keys are retained, in milliseconds
   */
  constructor (
    private readonly store: ObjectStore,
    private readonly key: string,
    private readonly clock: Clock,
    private readonly retentionMs: number
  ) {
    this.record = new StoreRecord(store, key, clock)
  }

  /** @returns the whole log as currently stored; empty if it does not exist */
  async read (): Promise<LoadedLog<Answer>> {
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

  /**
   * Appends entries.
   *
   * @param log - the log as it was read; updated in place
   * @param entries - entries to append, oldest first
   * @param owner - incarnation of the process that owns the range after the write
   * @throws `conflict` if another process has changed the log since it was read
   */
  async append (log: LoadedLog<Answer>, entries: ReadonlyArray<ClaimEntry<Answer>>, owner: string): Promise<void> {
    const { version, body } = log.state
    const epoch = owner === body.owner ? body.epoch : body.epoch + 1
    const rotated = await this.rotate(body, epoch)
    const head = { epoch, owner, segments: rotated.segments, tail: [...rotated.tail, ...entries] }
    const previous = version === absentVersion ? undefined : log.state
    log.state = await this.record.write(previous, head, createIdentifier())
    mergeClaims(log.index, entries)
    removeExpired(log.index, this.getCutoffMs())
  }

  /** @returns wall time before which claims have expired, in milliseconds */
  getCutoffMs (): number {
    return this.clock.getWallTime() - this.retentionMs
  }

  /** Moves a full tail into a new segment, and drops segments whose entries have all expired. */
  private async rotate (head: ClaimHead<Answer>, epoch: number): Promise<Pick<ClaimHead<Answer>, 'segments' | 'tail'>> {
    const cutoffMs = this.getCutoffMs()
    const segments = head.segments.filter((segment) => segment.newestMs >= cutoffMs)
    for (const segment of head.segments.filter((candidate) => !segments.includes(candidate))) {
      void this.removeSegment(segment.key)
    }
    const value = JSON.stringify(head.tail)
    if (value.length < maxTailBytes) return { segments, tail: head.tail }
    const key = `${this.key}/${epoch}-${createIdentifier()}`
    await this.writeSegment(key, value)
    const newestMs = Math.max(...head.tail.map((entry) => entry.atMs))
    return { segments: [...segments, { key, newestMs }], tail: [] }
  }

  /** Writes a segment. Its key is unique to this call, so a segment found after a lost answer was written by it. */
  private async writeSegment (key: string, value: string): Promise<void> {
    try {
      await this.store.put(key, value, absentVersion)
    } catch (error) {
      if (getErrorOutcome(error) !== Outcome.unknown) throw error
      const stored = await this.store.get(key)
      if (stored === undefined) throw error
    }
  }

  private async removeSegment (key: string): Promise<void> {
    try {
      const stored = await this.store.get(key)
      if (stored !== undefined) await this.store.remove(key, stored.version)
    } catch {
      // No head refers to the segment any more, so one that could not be removed is never read.
    }
  }
}
