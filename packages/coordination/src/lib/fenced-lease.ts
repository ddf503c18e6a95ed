/**
 * A lease whose holder is known by a number that only grows.
 *
 * The lease has no term and is not renewed: a holder keeps it until another process takes it. Orders carry the holder's
 * number, so that a receiver can refuse those of a former holder that was paused and wakes.
 */
import { createError, createIdentifier, ErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import type { ObjectStore } from './object-store.js'
import { StoreRecord } from './store-record.js'

/** What the store keeps of a lease. */
export interface LeaseState {
  /** Fencing number; grows with every holder. */
  fence: number
  /** Incarnation of the holder. */
  holder: string
}

/** One process's view of a lease. */
export class FencedLease {
  private readonly record: StoreRecord<LeaseState>
  private fence = 0

  /**
   * @param store - client of the platform's object API
   * @param key - key of the lease's object
   * @param holder - incarnation of this process
   */
  constructor (
    store: ObjectStore,
    key: string,
    clock: Clock,
    private readonly holder: string
  ) {
    this.record = new StoreRecord(store, key, clock)
  }

  /**
   * Takes the lease the first time, and afterwards checks that it is still held.
   *
   * @returns the fencing number to put into an order
   * @throws `superseded` if another process has taken the lease since; this process must give no more orders
   */
  async confirm (): Promise<number> {
    const state = await this.record.read()
    if (this.fence > 0) {
      if (state?.body.fence === this.fence) return this.fence
      throw createError(ErrorKind.superseded, `lease "${this.record.key}" was taken by "${state?.body.holder ?? 'nobody'}"`)
    }
    const fence = (state?.body.fence ?? 0) + 1
    await this.record.write(state, { fence, holder: this.holder }, createIdentifier())
    this.fence = fence
    return fence
  }
}
