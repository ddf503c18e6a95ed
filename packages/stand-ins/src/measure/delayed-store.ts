/**
 * A store in memory whose calls take time on a given clock.
 */
import { MemoryStore, StoreFault } from '@clementineloft/coordination'
import type { StoredObject } from '@clementineloft/coordination'
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'

/** Delays reads and writes. A watch ends with an error if the store is down at its time-out. */
export class DelayedStore extends MemoryStore {
  /** Bytes of all values that were written. */
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
      if (this.fault !== StoreFault.none) throw createError(ErrorKind.storeUnavailable, 'the watch broke')
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
