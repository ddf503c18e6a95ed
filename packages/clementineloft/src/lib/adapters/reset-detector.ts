/**
 * Tells an answer whose connection was reset from one that ended with its connection.
 *
 * A reset that arrives together with the last bytes is reported by the runtime as an end without an error. The connection
 * then has no peer any more, whereas after an end in order it keeps its peer until this side has closed it too.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Watches the connection of one request until the request closes. */
export class ResetDetector {
  private response: IncomingMessage | undefined
  private isReset = false

  /** @param request - request that has not been given a connection yet */
  constructor (request: ClientRequest) {
    request.prependListener('socket', (socket) => { this.watch(socket, request) })
    request.prependListener('response', (response) => { this.response = response })
  }

  /** @returns whether the connection was reset before the answer was complete; a body without a length then appears complete */
  hasBeenReset (): boolean {
    return this.isReset
  }

  private watch (socket: Socket, request: ClientRequest): void {
    const handleError = (): void => { this.recordReset() }
    const handleEnd = (): void => {
      if (socket.remoteAddress === undefined) this.recordReset()
    }
    // Both run before the listeners of the HTTP parser, which take an end and an error for the end of a body without a length.
    socket.prependListener('error', handleError)
    socket.prependListener('end', handleEnd)
    request.once('close', () => {
      socket.off('error', handleError)
      socket.off('end', handleEnd)
    })
  }

  private recordReset (): void {
    if (this.response?.complete !== true) this.isReset = true
  }
}
