/**
 * Passes notices of crashes on between entries, and keeps them for entries that start later.
 *
 * Entries do not know each other, but each of them exchanges datagrams with every sidecar. So a notice reaches all entries
 * with the store down, and from entries that reach only some of the sidecars.
 */
import type { Clock } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'
import type { CrashNotice } from '@clementineloft/routing'
import { NoticeBatcher } from './notice-batcher.js'

/** Maximum number of notices with one report of the endpoint; successive reports go through all of them. */
const maxNoticesPerReport = 1

/** Crashes as known to one sidecar. */
export class CrashRelay {
  private readonly register: CrashRegister
  private readonly batcher: NoticeBatcher

  /** @param send - sends notices to all entries */
  constructor (clock: Clock, send: (notices: CrashNotice[]) => void) {
    this.register = new CrashRegister(clock)
    this.batcher = new NoticeBatcher(clock, send)
  }

  /** Keeps the notices of an entry, and passes those on that are new here. */
  receive (notices: readonly CrashNotice[]): void {
    this.batcher.add(notices.filter((notice) => this.register.merge(notice)))
  }

  /** @returns notices to send with the next report */
  listNextNotices (): CrashNotice[] {
    return this.register.listNextNotices(maxNoticesPerReport)
  }
}
