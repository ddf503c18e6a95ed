/**
 * Progress of the answer to one call, over all its attempts: the events forwarded to the caller and the pauses between them.
 */
import type { Clock, Metrics } from '@clementineloft/kernel'
import { isHeaderValue } from '../callers/message-text.js'

/** Counts the events of one answer. */
export class CallProgress {
  /** Number of events forwarded to the caller. */
  events = 0
  /** Time of the last event or, before the first one, of the last attempt, in milliseconds of the clock. */
  lastProgressMs = 0
  longestPauseMs = 0

  /**
   * @param arrivedMs - when the call arrived, in milliseconds of the clock
   * @param lastEventId - id of the last event that the caller had before, for a stream that it resumes
   */
  constructor (
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly arrivedMs: number,
    public lastEventId: string | undefined
  ) {}

  /** Records that the call was sent, or that its path has changed; the time until the next event counts from now. */
  recordSend (): void {
    this.lastProgressMs = this.clock.now()
  }

  /** Records complete events that are about to be forwarded. `lastId` is that of the last event with an id, if any. */
  recordEvents (count: number, lastId: string | undefined): void {
    const nowMs = this.clock.now()
    if (this.events === 0) this.metrics.observe('first_event_ms', nowMs - this.arrivedMs)
    else this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastProgressMs)
    this.events += count
    this.lastProgressMs = nowMs
    if (lastId !== undefined) this.lastEventId = lastId
  }

  /** @returns since when the caller has been waiting for the next event, in milliseconds of the clock */
  getWaitingSinceMs (): number {
    return this.events === 0 ? this.arrivedMs : this.lastProgressMs
  }

  /** @returns whether another endpoint can be told after which event to go on */
  canResume (): boolean {
    return this.lastEventId === undefined || isHeaderValue(this.lastEventId)
  }
}
