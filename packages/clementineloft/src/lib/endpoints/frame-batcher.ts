/**
 * Gathers the frames of one turn of the event loop, so that they travel in one message.
 */
import type { Frame } from '@clementineloft/routing'

/** Gathers frames towards one receiver. */
export class FrameBatcher {
  private pending: Frame[] = []

  /** @param write - sends frames in one message; called at most once a turn */
  constructor (private readonly write: (frames: Frame[]) => void) {}

  /** @param frame - a frame to send in this turn */
  add (frame: Frame): void {
    this.pending.push(frame)
    if (this.pending.length === 1) setImmediate(() => { this.flush() })
  }

  private flush (): void {
    const frames = this.pending
    this.pending = []
    this.write(frames)
  }
}
