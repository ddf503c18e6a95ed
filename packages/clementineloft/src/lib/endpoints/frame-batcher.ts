/**
 * Batches the frames of one event loop turn into one message.
 */
import type { Frame } from '@clementineloft/routing'

/** Batches frames for one receiver. */
export class FrameBatcher {
  private pending: Frame[] = []

  /** @param write - sends frames in one message; called at most once per event loop turn */
  constructor (private readonly write: (frames: Frame[]) => void) {}

  /** @param frame - frame to send with the batch of the current event loop turn */
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
