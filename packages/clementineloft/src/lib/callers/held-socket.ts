/**
 * Stops and restarts reading from the connection of a request.
 */
import type { Socket } from 'node:net'

/**
 * Connection that can be held. A paused request would still buffer every chunk of the bytes that were read last; a request that
 * flows while its connection is held does not. The request itself resumes its connection, which is then held again.
 */
export class HeldSocket {
  private isHeld = false

  /** @param socket - connection of the request; `undefined` if it is already closed */
  constructor (private readonly socket: Socket | undefined) {}

  /** Stops reading. */
  pause (): void {
    if (this.isHeld) return
    this.isHeld = true
    this.socket?.on('resume', this.holdAgain)
    this.socket?.pause()
  }

  /** Reads again. */
  resume (): void {
    if (!this.isHeld) return
    this.isHeld = false
    this.socket?.off('resume', this.holdAgain)
    this.socket?.resume()
  }

  private readonly holdAgain = (): void => { this.socket?.pause() }
}
