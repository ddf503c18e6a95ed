/**
 * The configuration held by one process: its revision never decreases, and the latest changes are retained as deltas
 * for processes that are a few revisions behind.
 */
import jsonPatch from 'fast-json-patch'
import type { Operation } from 'fast-json-patch'

const maxRetainedChanges = 64

/** One accepted change: the difference between a revision and the next. */
export interface ConfigChange {
  /** Revision after the change. */
  revision: number
  /** Identity of the write that made the change; for a confirmed plan, the plan's identity. */
  operation: string
  /** Difference between the two documents as a JSON Patch. */
  patch: Operation[]
}

/** A complete configuration with its latest changes. This is the value in the store. */
export interface ConfigSnapshot<T> {
  revision: number
  document: T
  /** Latest changes, oldest first. */
  changes: ConfigChange[]
}

/** Update for a process that is behind: deltas or a snapshot; empty if it is up to date. */
export interface ConfigUpdate<T> {
  /** Changes after the other process's revision; present if all of them are retained. */
  changes?: ConfigChange[]
  /** Complete configuration; present if they are not. */
  snapshot?: ConfigSnapshot<T>
}

/**
 * Creates the snapshot of the next revision.
 *
 * @param previous - snapshot that was read from the store
 * @param document - the new document
 * @param operation - identity of the write
 * @returns the snapshot, with the change from the previous one added
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

/** Holds the highest revision received and notifies listeners of every newer one. */
export class ConfigReplica<T extends object> {
  private snapshot: ConfigSnapshot<T> | undefined
  private readonly listeners: Array<(document: T, revision: number) => void> = []

  /** @returns the current revision; 0 before the first */
  getRevision (): number {
    return this.snapshot?.revision ?? 0
  }

  /** @returns the current document, or `undefined` before the first */
  getDocument (): T | undefined {
    return this.snapshot?.document
  }

  /** @param listener - called after each newer revision has been applied */
  subscribe (listener: (document: T, revision: number) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Applies an update if it is newer than the current revision and leaves no gap.
   *
   * @returns whether a newer revision was applied
   */
  apply (update: ConfigUpdate<T>): boolean {
    if (update.snapshot !== undefined) return this.applySnapshot(update.snapshot)
    return this.applyChanges(update.changes ?? [])
  }

  /**
   * @param revision - revision of another process
   * @returns the update that the process needs; empty if it is not behind
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
