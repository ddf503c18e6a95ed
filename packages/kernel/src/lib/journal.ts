/**
 * The event journal of one process. The journals of all processes can be merged in the order of their timestamps.
 */
import type { HybridClock, Timestamp } from './hybrid-clock.js'

/** A recorded event. */
export interface JournalEvent {
  at: Timestamp
  /** Name of the instance that recorded the event. */
  instance: string
  /** Name of the event, such as `attempt-open`. */
  name: string
  request?: string
  team?: string
  endpoint?: string
  detail?: string
  /** Inputs and results of a decision, by name. */
  data?: Readonly<Record<string, string | number | boolean>>
}

/** The fields of an event that the caller provides; the journal adds timestamp and instance. */
export type EventFields = Omit<JournalEvent, 'at' | 'instance'>

/** A ring buffer of the latest events, so that memory use is limited by its capacity. */
export class Journal {
  private readonly events: JournalEvent[] = []
  private next = 0

  /**
   * @param instance - name of this instance
   * @param hybridClock - source of timestamps
   * @param capacity - maximum number of events kept
   * @param sink - receives every event as it is recorded
   */
  constructor (
    private readonly instance: string,
    private readonly hybridClock: HybridClock,
    private readonly capacity: number,
    private readonly sink?: (event: JournalEvent) => void
  ) {}

  /** @param fields - fields of the event */
  record (fields: EventFields): void {
    const event = { at: this.hybridClock.issue(), instance: this.instance, ...fields }
    this.events[this.next % this.capacity] = event
    this.next++
    this.sink?.(event)
  }

  /** @returns the events that are still held, oldest first */
  list (): JournalEvent[] {
    if (this.next <= this.capacity) return this.events.slice()
    const oldestIndex = this.next % this.capacity
    return [...this.events.slice(oldestIndex), ...this.events.slice(0, oldestIndex)]
  }
}
