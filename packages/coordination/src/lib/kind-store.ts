/**
 * The platform's object API by kind: pages of all objects of a kind, changes since a revision, conditional writes.
 */

/** An object of a kind. */
export interface KindObject {
  name: string
  /** Revision of its last change; one counter runs over all objects. */
  revision: number
  /** What its writer stored, not checked. */
  spec: unknown
}

/** Some of the objects of a kind. */
export interface KindPage {
  objects: KindObject[]
  /** Name after which the next page begins; absent on the last page. */
  nextAfter?: string
  /** Revision of the store that the page shows. */
  revision: number
}

/** One change to an object. */
export interface KindChange {
  object: KindObject
  isDeleted: boolean
}

/** Changes since a revision. */
export interface KindChanges {
  /** Absent if the store no longer has the history, so that the objects must be listed again. */
  changes?: KindChange[]
  /** Revision from which to go on. */
  revision: number
}

/** How fresh a read must be. */
export const Freshness = {
  latest: 'latest',
  /** May be seconds old; costs a tenth. */
  stale: 'stale'
} as const
export type Freshness = typeof Freshness[keyof typeof Freshness]

/**
 * A client of the object API.
 *
 * Methods throw errors of kind `conflict` when a condition did not hold and nothing was written, and
 * `store-unavailable`, with outcome `unknown` when a write may have taken effect.
 */
export abstract class KindStore {
  /** @returns one page of the objects of a kind; `after` is the `nextAfter` of the page before */
  abstract list (kind: string, after?: string): Promise<KindPage>

  /** @returns the object, or `undefined` if there is none */
  abstract read (kind: string, name: string, freshness?: Freshness): Promise<KindObject | undefined>

  /**
   * Waits for changes after a revision.
   *
   * @param signal - ends the watch when it is aborted
   * @returns the changes; none after the time limit or once `signal` is aborted
   */
  abstract watch (kind: string, revision: number, waitMs: number, freshness?: Freshness, signal?: AbortSignal): Promise<KindChanges>

  /**
   * Creates an object.
   *
   * @throws `conflict` if it exists
   */
  abstract create (kind: string, name: string, spec: unknown): Promise<KindObject>

  /**
   * Replaces an object that still has a revision.
   *
   * @throws `conflict` if it has another
   */
  abstract replace (kind: string, name: string, spec: unknown, revision: number): Promise<KindObject>
}
