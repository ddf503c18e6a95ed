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
  /** What decided and what came of it, by name. */
  data?: Readonly<Record<string, string | number | boolean>>
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
   * @param sink - receives every event as it is recorded
   */
  constructor (
    private readonly instance: string,
    private readonly hybridClock: HybridClock,
    private readonly capacity: number,
    private readonly sink?: (event: JournalEvent) => void
  ) {}

  /** @param fields - what happened */
  record (fields: EventFields): void {
    const event = { at: this.hybridClock.issue(), instance: this.instance, ...fields }
    this.events[this.next % this.capacity] = event
    this.next++
    this.sink?.(event)
  }

  /** @returns the events still held, oldest first */
  list (): JournalEvent[] {
    if (this.next <= this.capacity) return this.events.slice()
    const split = this.next % this.capacity
    return [...this.events.slice(split), ...this.events.slice(0, split)]
  }
}
