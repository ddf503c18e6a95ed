/**
 * An in-memory kind store for tests, with pages, watches, a history of changes and faults that a test can switch on.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { KindStore } from '@clementineloft/coordination'
import type { Freshness, KindChanges, KindObject, KindPage } from '@clementineloft/coordination'

/** Stores the objects of a single kind; the kind argument of its methods is ignored. */
export class ScriptedStore extends KindStore {
  readonly objects = new Map<string, KindObject>()
  revision = 0
  isDown = false
  hasHistory = true
  pageSize = 2
  watchCount = 0
  listCount = 0
  /** Whether pending watches are no longer notified of changes. */
  areNotificationsDropped = false
  private readonly log: Array<{ object: KindObject, isDeleted: boolean }> = []
  private waiters: Array<() => void> = []

  put (name: string, spec: unknown): KindObject {
    const object = { name, spec, revision: ++this.revision }
    this.objects.set(name, object)
    this.recordChange(object, false)
    return object
  }

  remove (name: string): void {
    const object = this.objects.get(name) as KindObject
    this.objects.delete(name)
    this.recordChange({ ...object, revision: ++this.revision }, true)
  }

  signal (): void {
    if (this.areNotificationsDropped) return
    for (const notifyWaiter of this.waiters.splice(0)) notifyWaiter()
  }

  override async list (_kind: string, after?: string): Promise<KindPage> {
    this.check()
    this.listCount++
    const names = [...this.objects.keys()].sort().filter((name) => after === undefined || name > after)
    const page = names.slice(0, this.pageSize)
    const hasNext = names.length > page.length
    return {
      objects: page.map((name) => this.objects.get(name) as KindObject),
      revision: this.revision,
      ...(hasNext ? { nextAfter: page.at(-1) as string } : {})
    }
  }

  override async read (_kind: string, name: string): Promise<KindObject | undefined> {
    this.check()
    return this.objects.get(name)
  }

  /** Drops pending watches, so that they are never answered. */
  dropWatches (): void {
    this.waiters = []
  }

  override async watch (_kind: string, revision: number, _waitMs: number, _freshness?: Freshness, signal?: AbortSignal): Promise<KindChanges> {
    this.check()
    this.watchCount++
    if (!this.hasHistory) {
      this.hasHistory = true
      return { revision }
    }
    const findChanges = (): typeof this.log => this.log.filter((change) => change.object.revision > revision)
    if (findChanges().length === 0) {
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve)
        signal?.addEventListener('abort', () => { resolve() })
      })
    }
    if (signal?.aborted === true) return { changes: [], revision }
    this.check()
    return { changes: findChanges(), revision: this.revision }
  }

  override async create (_kind: string, name: string, spec: unknown): Promise<KindObject> {
    this.check()
    if (this.objects.has(name)) throw createError(ErrorKind.conflict, 'the object exists already')
    return this.put(name, spec)
  }

  override async replace (_kind: string, name: string, spec: unknown, revision: number): Promise<KindObject> {
    this.check()
    if (this.objects.get(name)?.revision !== revision) throw createError(ErrorKind.conflict, 'the object does not have the expected revision')
    return this.put(name, spec)
  }

  private recordChange (object: KindObject, isDeleted: boolean): void {
    this.log.push({ object, isDeleted })
    this.signal()
  }

  private check (): void {
    if (this.isDown) throw createError(ErrorKind.storeUnavailable, 'down')
  }
}
