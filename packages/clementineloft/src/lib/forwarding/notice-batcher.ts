/**
 * Collects notices of crashes for a moment and sends them together, since one crash concerns every call at the endpoint.
 */
import type { Clock } from '@clementineloft/kernel'
import type { CrashNotice } from '@clementineloft/routing'

/** Time for which notices are collected, in milliseconds. */
const collectMs = 10
/** Maximum number of notices in one message, so that a datagram is not split. */
const maxNotices = 8

/** Batches notices; of several for the same trait it sends the latest. */
export class NoticeBatcher {
  private readonly pending = new Map<string, CrashNotice>()

  /** @param send - sends up to {@link maxNotices} notices */
  constructor (
    private readonly clock: Clock,
    private readonly send: (notices: CrashNotice[]) => void
  ) {}

  /** Adds notices, which are sent within {@link collectMs}. */
  add (notices: readonly CrashNotice[]): void {
    if (notices.length > 0 && this.pending.size === 0) this.clock.schedule(collectMs, () => { this.flush() })
    for (const notice of notices) this.pending.set(notice.trait, notice)
  }

  private flush (): void {
    const notices = [...this.pending.values()]
    this.pending.clear()
    for (let start = 0; start < notices.length; start += maxNotices) this.send(notices.slice(start, start + maxNotices))
  }
}
