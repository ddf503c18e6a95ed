/**
 * Abstraction of time and timers.
 *
 * Code that depends on time takes a {@link Clock}, so that tests can advance time manually instead of waiting.
 */

/** A handle that cancels a scheduled callback. */
export interface Timer {
  /** Cancels the callback; has no effect after the callback has run. */
  cancel(): void
}

/** A source of time and of delayed callbacks. */
export abstract class Clock {
  /** @returns monotonic time in milliseconds since an arbitrary start */
  abstract now (): number

  /** @returns milliseconds since the Unix epoch; may jump in both directions */
  abstract getWallTime (): number

  /**
   * Runs a callback once after a delay.
   *
   * @param delayMs - delay in milliseconds
   * @param callback - function to run
   * @returns a handle that cancels the callback
   */
  abstract schedule (delayMs: number, callback: () => void): Timer

  /**
   * @param delayMs - delay in milliseconds
   * @returns a promise that resolves after the delay
   */
  wait (delayMs: number): Promise<void> {
    return new Promise((resolve) => { this.schedule(delayMs, resolve) })
  }
}

/** The system clock. A scheduled callback does not keep the process alive, but {@link wait} does. */
export class SystemClock extends Clock {
  override now (): number {
    return performance.now()
  }

  override getWallTime (): number {
    return Date.now()
  }

  override schedule (delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs)
    handle.unref()
    return { cancel: () => { clearTimeout(handle) } }
  }

  override wait (delayMs: number): Promise<void> {
    return new Promise((resolve) => { setTimeout(resolve, delayMs) })
  }
}

interface ScheduledCallback {
  dueMs: number
  sequence: number
  callback: () => void
}

/** A clock for tests, which advances only on request. */
export class ManualClock extends Clock {
  private timeMs = 0
  private nextSequence = 0
  private scheduled: ScheduledCallback[] = []

  override now (): number {
    return this.timeMs
  }

  override getWallTime (): number {
    return this.timeMs
  }

  override schedule (delayMs: number, callback: () => void): Timer {
    const entry = { dueMs: this.timeMs + delayMs, sequence: this.nextSequence++, callback }
    this.scheduled.push(entry)
    return {
      cancel: () => { this.scheduled = this.scheduled.filter((other) => other !== entry) }
    }
  }

  /**
   * Advances time and runs the callbacks that fall due, in order of due time.
   *
   * @param durationMs - time to advance, in milliseconds
   */
  advance (durationMs: number): void {
    const endMs = this.timeMs + durationMs
    for (let next = this.findNext(endMs); next !== undefined; next = this.findNext(endMs)) {
      const due = next
      this.scheduled = this.scheduled.filter((other) => other !== due)
      this.timeMs = due.dueMs
      due.callback()
    }
    this.timeMs = endMs
  }

  /**
   * Advances time step by step and lets pending promises settle after each step.
   *
   * @param durationMs - time to advance, in milliseconds
   * @param stepMs - length of a step in milliseconds
   */
  async advanceGradually (durationMs: number, stepMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      this.advance(Math.min(stepMs, durationMs - elapsedMs))
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }

  private findNext (endMs: number): ScheduledCallback | undefined {
    const due = this.scheduled.filter((entry) => entry.dueMs <= endMs)
    return due.sort((a, b) => a.dueMs - b.dueMs || a.sequence - b.sequence)[0]
  }
}
