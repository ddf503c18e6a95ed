/**
 * What the store keeps of idempotency keys.
 */

/** One entry in the log of a key range. A later entry for the same key replaces an earlier one. */
export interface ClaimEntry<Answer> {
  key: string
  /** Digest of the request that used the key. */
  fingerprint: string
  /** Endpoint that claimed the key. */
  holder: string
  /** Process that claimed the key, the only one that may ever run it. */
  incarnation: string
  /** Wall time of the claim in milliseconds, for expiry. */
  atMs: number
  /** The answer, once the request has run. */
  answer?: Answer
  /** Whether the claim was given up before the request ran. */
  isReleased?: boolean
}

/** A full part of the log, kept in an object of its own that is never changed. */
export interface ClaimSegment {
  key: string
  newestMs: number
}

/** The object of one key range. Every change of it is conditional on its version. */
export interface ClaimHead<Answer> {
  /** Grows with every change of owner. */
  epoch: number
  /** Process that owns the range. */
  owner: string
  segments: ClaimSegment[]
  tail: Array<ClaimEntry<Answer>>
}

/** The entries of a key range by key, as the log leaves them. */
export type ClaimIndex<Answer> = Map<string, ClaimEntry<Answer>>

const isSameClaim = (one: ClaimEntry<unknown>, other: ClaimEntry<unknown>): boolean =>
  one.incarnation === other.incarnation && one.atMs === other.atMs

/**
 * Adds entries to an index; later ones win. A release ends only the claim that it names, since it may be written after
 * the key was claimed again.
 *
 * @param index - the index to change
 * @param entries - entries in order of the log
 */
export const mergeClaims = <Answer> (index: ClaimIndex<Answer>, entries: ReadonlyArray<ClaimEntry<Answer>>): void => {
  for (const entry of entries) {
    if (entry.isReleased !== true) {
      index.set(entry.key, entry)
      continue
    }
    const current = index.get(entry.key)
    if (current !== undefined && isSameClaim(current, entry)) index.delete(entry.key)
  }
}

/**
 * Leaves out claims that are older than keys are remembered.
 *
 * @param index - claims in order of their time
 * @param cutoffMs - wall time of the oldest claim to keep, in milliseconds
 */
export const removeExpired = <Answer> (index: ClaimIndex<Answer>, cutoffMs: number): void => {
  for (const [key, entry] of index) {
    if (entry.atMs >= cutoffMs) return
    index.delete(key)
  }
}
