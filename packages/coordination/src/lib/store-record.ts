/**
 * One object in the store that several processes update by conditional writes.
 *
 * The object contains the identities of its latest writes. When the answer to a write is lost, reading the object back
 * tells whether that write took effect.
 */
import { createError, ErrorKind, getErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { absentVersion } from './object-store.js'
import type { ObjectStore } from './object-store.js'

const maxRetainedOperations = 32
const maxReadBackAttempts = 5
const readBackDelayMs = 200

interface Envelope<T> {
  operations: string[]
  body: T
}

/** A value as it was read, with the version on which a later write is conditional. */
export interface RecordState<T> {
  version: number
  body: T
  /** Identities of the latest writes, oldest first. */
  operations: string[]
}

/** Reads and conditionally writes one JSON object. */
export class StoreRecord<T> {
  /**
   * @param store - client of the platform's object API
   * @param key - key of the object
   * @param clock - schedules the reads that follow a lost answer
   */
  constructor (
    private readonly store: ObjectStore,
    readonly key: string,
    private readonly clock: Clock
  ) {}

  /** @returns the current state, or `undefined` if the object does not exist */
  async read (): Promise<RecordState<T> | undefined> {
    const stored = await this.store.get(this.key)
    return stored === undefined ? undefined : StoreRecord.parse<T>(stored)
  }

  /**
   * Waits for a state newer than the given version.
   *
   * @param afterVersion - version that the caller has
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns the newer state, or `undefined` after the timeout
   */
  async watch (afterVersion: number, timeoutMs: number): Promise<RecordState<T> | undefined> {
    const stored = await this.store.watch(this.key, afterVersion, timeoutMs)
    return stored === undefined ? undefined : StoreRecord.parse<T>(stored)
  }

  /**
   * Replaces the value if it was not written since it was read.
   *
   * @param previous - state that was read; `undefined` to create the object
   * @param body - the new value
   * @param operation - identity of this write, unique among all processes
   * @returns the state after the write
   * @throws `conflict` if another write came first; `store-unavailable` with outcome `unknown` if the store did not
   *   answer and the object could not be read back
   */
  async write (previous: RecordState<T> | undefined, body: T, operation: string): Promise<RecordState<T>> {
    const operations = [...(previous?.operations ?? []), operation].slice(-maxRetainedOperations)
    const envelope: Envelope<T> = { operations, body }
    const expectedVersion = previous?.version ?? absentVersion
    try {
      const version = await this.store.put(this.key, JSON.stringify(envelope), expectedVersion)
      return { version, body, operations }
    } catch (error) {
      const mayHaveTakenEffect = getErrorKind(error) !== ErrorKind.conflict && getErrorOutcome(error) === Outcome.unknown
      if (!mayHaveTakenEffect) throw error
      return await this.resolveOutcome(expectedVersion, operation, error)
    }
  }

  /** Reads the object back until it shows whether the write took effect. */
  private async resolveOutcome (expectedVersion: number, operation: string, cause: unknown): Promise<RecordState<T>> {
    for (let attempt = 0; attempt < maxReadBackAttempts; attempt++) {
      await this.clock.wait(readBackDelayMs * 2 ** attempt)
      const state = await this.read().catch(() => null)
      if (state === null) continue
      if (state?.operations.includes(operation) === true) return state
      if ((state?.version ?? absentVersion) === expectedVersion) continue
      throw createError(ErrorKind.conflict, `object "${this.key}" was changed by another writer; read it again`)
    }
    throw createError(ErrorKind.storeUnavailable, `write of object "${this.key}" was not answered and could not be confirmed by reading it back`, {
      outcome: Outcome.unknown, cause
    })
  }

  private static parse<T> (stored: { value: string, version: number }): RecordState<T> {
    const envelope = JSON.parse(stored.value) as Envelope<T>
    return { version: stored.version, body: envelope.body, operations: envelope.operations }
  }
}
