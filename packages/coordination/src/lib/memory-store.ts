/**
 * An in-memory object store for tests and examples that can simulate outages and lost answers.
 */
import { createError, ErrorKind, Outcome } from '@clementineloft/kernel'
import { absentVersion, ObjectStore } from './object-store.js'
import type { StoredObject } from './object-store.js'

/** Simulated faults of a store. */
export const StoreFault = {
  none: 'none',
  /** Calls fail without effect. */
  down: 'down',
  /** Writes take effect, but their answers are lost. */
  lostAnswers: 'lost-answers'
} as const
export type StoreFault = typeof StoreFault[keyof typeof StoreFault]

/** Stores objects and their versions in memory. */
export class MemoryStore extends ObjectStore {
  /** The fault that is simulated at present. */
  fault: StoreFault = StoreFault.none
  /** Number of calls by operation. */
  readonly calls = { get: 0, list: 0, put: 0, remove: 0, watch: 0 }
  private readonly objects = new Map<string, StoredObject>()
  private watchers: Array<{ key: string, afterVersion: number, resolve: (object: StoredObject) => void }> = []

  override async get (key: string): Promise<StoredObject | undefined> {
    this.begin('get')
    return this.objects.get(key)
  }

  override async list (prefix: string): Promise<StoredObject[]> {
    this.begin('list')
    return [...this.objects.values()].filter((object) => object.key.startsWith(prefix))
  }

  override async put (key: string, value: string, expectedVersion: number): Promise<number> {
    this.begin('put')
    const version = this.objects.get(key)?.version ?? absentVersion
    if (version !== expectedVersion) throw createError(ErrorKind.conflict, `object "${key}" has version ${version}, expected ${expectedVersion}`)
    const object = { key, value, version: version + 1 }
    this.objects.set(key, object)
    const notified = this.watchers.filter((watcher) => watcher.key === key && watcher.afterVersion < object.version)
    this.watchers = this.watchers.filter((watcher) => !notified.includes(watcher))
    for (const watcher of notified) watcher.resolve(object)
    if (this.fault === StoreFault.lostAnswers) this.fail(Outcome.unknown)
    return object.version
  }

  override async remove (key: string, expectedVersion: number): Promise<void> {
    this.begin('remove')
    if (this.objects.get(key)?.version !== expectedVersion) throw createError(ErrorKind.conflict, `object "${key}" does not have the expected version`)
    this.objects.delete(key)
  }

  override async watch (key: string, afterVersion: number, timeoutMs: number): Promise<StoredObject | undefined> {
    this.begin('watch')
    const object = this.objects.get(key)
    if (object !== undefined && object.version > afterVersion) return object
    return await new Promise((resolve) => {
      const timer = setTimeout(() => { resolve(undefined) }, timeoutMs)
      timer.unref()
      this.watchers.push({ key, afterVersion, resolve: (newer) => { clearTimeout(timer); resolve(newer) } })
    })
  }

  private begin (operation: keyof MemoryStore['calls']): void {
    this.calls[operation]++
    if (this.fault === StoreFault.down) this.fail(Outcome.notRun)
  }

  private fail (outcome: Outcome): never {
    throw createError(ErrorKind.storeUnavailable, 'the store does not answer', { outcome })
  }
}
