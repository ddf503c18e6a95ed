/**
 * A lease with a fencing token: each holder gets a higher number than the previous one.
 *
 * The lease has no term and is not renewed: a holder keeps it until another process takes it. Orders carry the holder's
 * fencing token, so that a receiver can refuse orders of a former holder that resumes after a pause.
 */
import { createError, createIdentifier, ErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import type { ObjectStore } from './object-store.js'
import { StoreRecord } from './store-record.js'

/** The stored state of a lease. */
export interface LeaseState {
  /** Fencing token; increases with every change of holder. */
  fence: number
  /** Incarnation of the holder. */
  holder: string
}

/** The lease as one process sees it. */
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
   * Takes the lease on the first call; on later calls checks that this process still holds it.
   *
   * @returns the fencing token to send with an order
   * @throws `superseded` if another process has taken the lease since; this process must send no more orders
   */
  async confirm (): Promise<number> {
    const state = await this.record.read()
    if (this.fence > 0) {
      if (state?.body.fence === this.fence) return this.fence
      throw createError(ErrorKind.superseded, `lease "${this.record.key}" was taken by "${state?.body.holder ?? 'unknown'}"`)
    }
    const fence = (state?.body.fence ?? 0) + 1
    await this.record.write(state, { fence, holder: this.holder }, createIdentifier())
    this.fence = fence
    return fence
  }
}
