/**
 * The platform's object API: versions, conditional updates, watches.
 */

/** A stored value with its version. */
export interface StoredObject {
  key: string
  /** Text of the value; JSON in all uses of this package. */
  value: string
  /** Version of this object; grows with every write to it. */
  version: number
}

/** Version to expect when an object must not exist yet. */
export const absentVersion = 0

/**
 * A client of the platform's object API.
 *
 * Methods throw errors of kind `conflict`, when a condition did not hold and nothing was written, and
 * `store-unavailable`, with outcome `unknown` when a write may have taken effect.
 */
export abstract class ObjectStore {
  /** @returns the object, or `undefined` if there is none */
  abstract get (key: string): Promise<StoredObject | undefined>

  /** @returns all objects whose key begins with the prefix */
  abstract list (prefix: string): Promise<StoredObject[]>

  /**
   * Writes an object if it still has the expected version.
   *
   * @param expectedVersion - version that was read, or {@link absentVersion} to create
   * @returns the new version
   */
  abstract put (key: string, value: string, expectedVersion: number): Promise<number>

  /** Removes an object if it still has the expected version. */
  abstract remove (key: string, expectedVersion: number): Promise<void>

  /**
   * Waits until the object is newer than a version.
   *
   * @returns the newer object, or `undefined` after the time-out
   */
  abstract watch (key: string, afterVersion: number, timeoutMs: number): Promise<StoredObject | undefined>
}
