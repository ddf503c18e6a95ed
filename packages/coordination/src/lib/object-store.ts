/**
 * The platform's object API by key: versioned objects, conditional updates and watches.
 */

/** A stored value with its version. */
export interface StoredObject {
  key: string
  /** Text of the value; this package stores only JSON. */
  value: string
  /** Version of this object; increases with every write to it. */
  version: number
}

/** Expected version of an object that must not exist yet. */
export const absentVersion = 0

/**
 * A client of the platform's object API.
 *
 * Methods throw `conflict` if the condition did not hold and nothing was written, and `store-unavailable` if the store
 * did not answer; its outcome is `unknown` if a write may have taken effect.
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

  /**
   * Removes an object if it still has the expected version.
   *
   * @param expectedVersion - version that was read
   */
  abstract remove (key: string, expectedVersion: number): Promise<void>

  /**
   * Waits until the object is newer than a version.
   *
   * @param afterVersion - version that the caller has
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns the newer object, or `undefined` after the timeout
   */
  abstract watch (key: string, afterVersion: number, timeoutMs: number): Promise<StoredObject | undefined>
}
