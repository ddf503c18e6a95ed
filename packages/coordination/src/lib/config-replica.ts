/**
 * The configuration as one process holds it: a revision that only grows, with the latest changes kept as deltas for
 * processes that are a little behind.
 */
import jsonPatch from 'fast-json-patch'
import type { Operation } from 'fast-json-patch'

const maxRetainedChanges = 64

/** One accepted change: what turns one revision into the next. */
export interface ConfigChange {
  /** Revision after the change. */
  revision: number
  /** Identity of the write that made it; the plan's identity for a confirmed plan. */
  operation: string
  patch: Operation[]
}

/** A whole configuration with its latest changes. This is the value kept in the store. */
export interface ConfigSnapshot<T> {
  revision: number
  document: T
  /** Latest changes, oldest first. */
  changes: ConfigChange[]
}

/** What one process sends to another that is behind. */
export interface ConfigUpdate<T> {
  /** Present when deltas suffice. */
  changes?: ConfigChange[]
  /** Present when they do not. */
  snapshot?: ConfigSnapshot<T>
}

/**
 * Makes the snapshot that follows another.
 *
 * @param previous - snapshot that was read from the store
 * @param document - the new document
 * @param operation - identity of the write
 */
export const createNextSnapshot = <T extends object> (
  previous: ConfigSnapshot<T>,
  document: T,
  operation: string
): ConfigSnapshot<T> => {
  const revision = previous.revision + 1
  const change = { revision, operation, patch: jsonPatch.compare(previous.document, document) }
  return { revision, document, changes: [...previous.changes, change].slice(-maxRetainedChanges) }
}

/** Holds the highest revision seen and tells listeners about every newer one. */
export class ConfigReplica<T extends object> {
  private snapshot: ConfigSnapshot<T> | undefined
  private readonly listeners: Array<(document: T, revision: number) => void> = []

  /** @returns the revision in force; 0 before the first */
  getRevision (): number {
    return this.snapshot?.revision ?? 0
  }

  /** @returns the document in force, or `undefined` before the first */
  getDocument (): T | undefined {
    return this.snapshot?.document
  }

  /** @param listener - called after each newer revision is in force */
  subscribe (listener: (document: T, revision: number) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Applies an update if it is newer than what is held.
   *
   * @returns whether a newer revision came into force
   */
  apply (update: ConfigUpdate<T>): boolean {
    if (update.snapshot !== undefined) return this.applySnapshot(update.snapshot)
    return this.applyChanges(update.changes ?? [])
  }

  /**
   * @param revision - revision that another process holds
   * @returns what brings it up to date; empty if it is not behind
   */
  createUpdate (revision: number): ConfigUpdate<T> {
    if (this.snapshot === undefined || revision >= this.snapshot.revision) return {}
    const missing = this.snapshot.changes.filter((change) => change.revision > revision)
    const isCovered = revision > 0 && missing.length === this.snapshot.revision - revision
    return isCovered ? { changes: missing } : { snapshot: this.snapshot }
  }

  private applySnapshot (snapshot: ConfigSnapshot<T>): boolean {
    if (snapshot.revision <= this.getRevision()) return false
    this.replace(snapshot)
    return true
  }

  private applyChanges (changes: ConfigChange[]): boolean {
    const held = this.snapshot
    if (held === undefined) return false
    const newer = changes.filter((change) => change.revision > held.revision)
    const isContiguous = newer.every((change, index) => change.revision === held.revision + index + 1)
    if (newer.length === 0 || !isContiguous) return false
    const document = newer.reduce<T>(
      (current, change) => jsonPatch.applyPatch(current, change.patch, false, false).newDocument,
      held.document
    )
    const revision = held.revision + newer.length
    this.replace({ revision, document, changes: [...held.changes, ...newer].slice(-maxRetainedChanges) })
    return true
  }

  private replace (snapshot: ConfigSnapshot<T>): void {
    this.snapshot = snapshot
    for (const listener of this.listeners) listener(snapshot.document, snapshot.revision)
  }
}
