/**
 * An in-memory store whose calls take a fixed time on a given clock.
 */
import { MemoryStore, StoreFault } from '@clementineloft/coordination'
import type { StoredObject } from '@clementineloft/coordination'
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'

/** Delays reads and writes. A watch fails if the store is down when the watch times out. */
export class DelayedStore extends MemoryStore {
  /** Total length of the values passed to `put`; conditional writes that fail are counted too. */
  writtenBytes = 0

  constructor (
    private readonly clock: Clock,
    private readonly delayMs: number
  ) {
    super()
  }

  override async get (key: string): Promise<StoredObject | undefined> {
    await this.clock.wait(this.delayMs)
    return await super.get(key)
  }

  override async watch (key: string, afterVersion: number, timeoutMs: number): Promise<StoredObject | undefined> {
    const timeout = this.clock.wait(timeoutMs).then(() => {
      if (this.fault !== StoreFault.none) throw createError(ErrorKind.storeUnavailable, 'the store was unavailable when the watch timed out')
      return undefined
    })
    timeout.catch(() => {})
    return await Promise.race([super.watch(key, afterVersion, timeoutMs), timeout])
  }

  override async put (key: string, value: string, expectedVersion: number): Promise<number> {
    await this.clock.wait(this.delayMs)
    this.writtenBytes += value.length
    return await super.put(key, value, expectedVersion)
  }
}
