/**
 * The event journal of one process. Journals of all processes merge into one time line.
 */
import type { HybridClock, Timestamp } from './hybrid-clock.js'

/** One thing that happened, and where. */
export interface JournalEvent {
  at: Timestamp
  /** Name of the instance that recorded the event. */
  instance: string
  /** What happened, such as `attempt-open`. */
  name: string
  request?: string
  team?: string
  endpoint?: string
  detail?: string
}

/** The fields a caller gives; the journal adds time and instance. */
export type EventFields = Omit<JournalEvent, 'at' | 'instance'>

/** A ring of the latest events. Its memory is bounded by its capacity. */
export class Journal {
  private readonly events: JournalEvent[] = []
  private next = 0

  /**
   * @param instance - name of this instance
   * @param hybridClock - source of timestamps
   * @param capacity - number of events kept
   */
  constructor (
    private readonly instance: string,
    private readonly hybridClock: HybridClock,
    private readonly capacity: number
  ) {}

  /** @param fields - what happened */
  record (fields: EventFields): void {
    this.events[this.next % this.capacity] = { at: this.hybridClock.issue(), instance: this.instance, ...fields }
    this.next++
  }

  /** @returns the events still held, oldest first */
  list (): JournalEvent[] {
    if (this.next <= this.capacity) return this.events.slice()
    const split = this.next % this.capacity
    return [...this.events.slice(split), ...this.events.slice(0, split)]
  }
}
