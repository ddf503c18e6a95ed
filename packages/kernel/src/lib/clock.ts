/**
 * Time as the rest of the code sees it.
 *
 * Every decision takes a {@link Clock}, so that a test can move time by hand.
 */

/** A handle that cancels a scheduled callback. */
export interface Timer {
  /** Cancels the callback; does nothing once it has run. */
  cancel(): void
}

/** A source of time and of delayed callbacks. */
export abstract class Clock {
  /** @returns milliseconds since an arbitrary start; never goes back */
  abstract now (): number

  /** @returns milliseconds since the Unix epoch; may jump */
  abstract getWallTime (): number

  /**
   * Runs a callback once, later.
   *
   * @param delayMs - delay in milliseconds
   * @param callback - what to run
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

/** The clock of the operating system. Scheduled callbacks do not keep the process alive; a wait does. */
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
  order: number
  callback: () => void
}

/** A clock that moves only when told to. */
export class ManualClock extends Clock {
  private timeMs = 0
  private order = 0
  private scheduled: ScheduledCallback[] = []

  override now (): number {
    return this.timeMs
  }

  override getWallTime (): number {
    return this.timeMs
  }

  override schedule (delayMs: number, callback: () => void): Timer {
    const entry = { dueMs: this.timeMs + delayMs, order: this.order++, callback }
    this.scheduled.push(entry)
    return {
      cancel: () => { this.scheduled = this.scheduled.filter((other) => other !== entry) }
    }
  }

  /**
   * Moves time forward and runs what falls due, in order of due time.
   *
   * @param durationMs - milliseconds to move
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
   * Moves time forward step by step and lets pending promises settle after each step.
   *
   * @param durationMs - milliseconds to move
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
    return due.sort((a, b) => a.dueMs - b.dueMs || a.order - b.order)[0]
  }
}
