/**
 * The stored records of idempotency keys, and how a log of them is reduced to the claims in effect.
 */

/** One entry in the log of a key range. A later entry for the same key replaces an earlier one. */
export interface ClaimEntry<Answer> {
  key: string
  /** Digest of the request that used the key. */
  fingerprint: string
  /** Endpoint that claimed the key. */
  holder: string
  /** Process that claimed the key; no other may run the request under this claim. */
  incarnation: string
  /** Wall time of the claim in milliseconds; determines its expiry. */
  atMs: number
  /** The answer to the request; absent until it has run. */
  answer?: Answer
  /** Whether the claim was released because the request did not run. */
  isReleased?: boolean
}

/** Reference to a full part of the log, which is stored in an immutable object of its own. */
export interface ClaimSegment {
  /** Key of the object. */
  key: string
  /** Wall time of its newest claim in milliseconds; the segment expires with it. */
  newestMs: number
}

/** The head object of one key range. Every write of it is conditional on its version. */
export interface ClaimHead<Answer> {
  /** Number that increases with every change of owner. */
  epoch: number
  /** Incarnation of the process that owns the range. */
  owner: string
  /** Older parts of the log, oldest first. */
  segments: ClaimSegment[]
  /** Latest entries of the log, oldest first. */
  tail: Array<ClaimEntry<Answer>>
}

/** The claims in effect in a key range, by key. */
export type ClaimIndex<Answer> = Map<string, ClaimEntry<Answer>>

const isSameClaim = (one: ClaimEntry<unknown>, other: ClaimEntry<unknown>): boolean =>
  one.incarnation === other.incarnation && one.atMs === other.atMs

/**
 * Merges log entries into an index; a later entry replaces an earlier one for the same key. A release removes only the
 * claim that it identifies, since it may be written after the key was claimed again.
 *
 * @param index - the index, updated in place
 * @param entries - entries in log order
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
 * Removes claims that are older than the retention time.
 *
 * @param index - claims, oldest first; updated in place
 * @param cutoffMs - wall time of the oldest claim to retain, in milliseconds
 */
export const removeExpired = <Answer> (index: ClaimIndex<Answer>, cutoffMs: number): void => {
  for (const [key, entry] of index) {
    if (entry.atMs >= cutoffMs) return
    index.delete(key)
  }
}
