/**
 * The platform's object API by kind: paginated lists of all objects of a kind, changes since a revision, and
 * conditional writes.
 */

/** An object of a kind. */
export interface KindObject {
  name: string
  /** Revision of its last change; one counter covers all objects of the store. */
  revision: number
  /** Value as its writer stored it, not validated. */
  spec: unknown
}

/** One page of the objects of a kind. */
export interface KindPage {
  objects: KindObject[]
  /** Name of the object after which the next page begins; absent on the last page. */
  nextAfter?: string
  /** Revision of the store at which the page was read. */
  revision: number
}

/** One change to an object. */
export interface KindChange {
  object: KindObject
  isDeleted: boolean
}

/** Changes since a revision. */
export interface KindChanges {
  /** Absent if the store no longer retains the history since that revision; the objects must then be listed again. */
  changes?: KindChange[]
  /** Revision from which the next watch continues. */
  revision: number
}

/** Required freshness of a read. */
export const Freshness = {
  latest: 'latest',
  /** May be seconds old; costs the store a tenth of a read of the latest state. */
  stale: 'stale'
} as const
export type Freshness = typeof Freshness[keyof typeof Freshness]

/**
 * A client of the object API.
 *
 * Methods throw `conflict` if the condition did not hold and nothing was written, and `store-unavailable` if the store
 * did not answer; its outcome is `unknown` if a write may have taken effect.
 */
export abstract class KindStore {
  /**
   * @param after - `nextAfter` of the previous page; absent for the first page
   * @returns one page of the objects of a kind
   */
  abstract list (kind: string, after?: string): Promise<KindPage>

  /** @returns the object, or `undefined` if there is none */
  abstract read (kind: string, name: string, freshness?: Freshness): Promise<KindObject | undefined>

  /**
   * Waits for changes after a revision.
   *
   * @param revision - revision up to which the caller has all changes
   * @param waitMs - maximum wait, in milliseconds
   * @param signal - ends the watch when it is aborted
   * @returns the changes; none after the maximum wait or once `signal` is aborted
   */
  abstract watch (kind: string, revision: number, waitMs: number, freshness?: Freshness, signal?: AbortSignal): Promise<KindChanges>

  /**
   * Creates an object.
   *
   * @returns the object with its revision
   * @throws `conflict` if it exists already
   */
  abstract create (kind: string, name: string, spec: unknown): Promise<KindObject>

  /**
   * Replaces an object if it still has the expected revision.
   *
   * @param revision - revision that was read
   * @returns the object with its new revision
   * @throws `conflict` if it has another revision
   */
  abstract replace (kind: string, name: string, spec: unknown, revision: number): Promise<KindObject>
}
