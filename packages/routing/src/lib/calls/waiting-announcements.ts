/**
 * Decides when an entry tells sidecars of its waiting calls at once, besides its request for reports once a second.
 *
 * Addresses bursts shorter than a second, which would be over before the next request. News that more urgent calls wait go to
 * a few sidecars: all entries hear each of them and take the greatest sums. News that they do not wait any more go to all of
 * them for the same reason, and less often.
 */
import type { Clock } from '@clementineloft/kernel'
import type { RankLoad } from './rank-load.js'

/** Whom to tell. */
export const Announcement = {
  /** A few sidecars. */
  some: 'some',
  all: 'all'
} as const
export type Announcement = typeof Announcement[keyof typeof Announcement]

/** Minimum time between two announcements, in milliseconds. */
const minIntervalMs = 200
/** The same for those that go to all sidecars: at most triple the number of requests. */
const minIntervalToAllMs = 500
/** Growth of the waiting tokens of the most urgent rank that is announced. */
const growthFactor = 2

/** Announcements of one entry for one service. */
export class WaitingAnnouncements {
  private rank = Infinity
  private tokens = 0
  private announcedMs = -Infinity

  constructor (private readonly clock: Clock) {}

  /**
   * @param waiting - calls that wait now, most urgent rank first
   * @returns whom to tell of them now; `undefined` if nobody
   */
  next (waiting: readonly RankLoad[]): Announcement | undefined {
    const { rank, tokens } = waiting[0] ?? { rank: Infinity, tokens: 0 }
    const hasGrown = rank < this.rank || (rank === this.rank && tokens >= this.tokens * growthFactor && tokens > this.tokens)
    if (!hasGrown && rank === this.rank) return undefined
    const nowMs = this.clock.now()
    if (nowMs - this.announcedMs < (hasGrown ? minIntervalMs : minIntervalToAllMs)) return undefined
    this.rank = rank
    this.tokens = tokens
    this.announcedMs = nowMs
    return hasGrown ? Announcement.some : Announcement.all
  }
}
