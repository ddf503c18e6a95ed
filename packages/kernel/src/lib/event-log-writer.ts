/**
 * Writes journal events as JSON lines to standard output.
 *
 * A slow reader of standard output, or a burst of events, must not block the process. Writes are therefore
 * non-blocking, and lines beyond a rate limit or a limit on buffered bytes are dropped and counted.
 */
import { Logger } from 'tslog'
import type { Clock } from './clock.js'
import type { JournalEvent } from './journal.js'

/** Rate limit, in lines per second. */
const maxLinesPerSecond = 400
/** Limit on the bytes that are buffered for standard output. */
const maxBufferedBytes = 262_144
const millisecondsPerSecond = 1000

interface BlockingHandle {
  setBlocking?: (isBlocking: boolean) => void
}

/** Writes the events of one process. */
export class EventLogWriter {
  private readonly logger = new Logger<Record<string, unknown>>({ type: 'hidden', hideLogPositionForProduction: true })
  private windowStartMs = 0
  private writtenLines = 0
  private droppedLines = 0

  constructor (private readonly clock: Clock) {
    const handle = (process.stdout as unknown as { _handle?: BlockingHandle })._handle
    handle?.setBlocking?.(false)
    this.logger.attachTransport(({ _meta: _, ...line }) => { process.stdout.write(`${JSON.stringify(line)}\n`) })
  }

  /** Writes an event, or drops and counts it if a limit is exceeded. */
  write (event: JournalEvent): void {
    const nowMs = this.clock.now()
    if (nowMs - this.windowStartMs >= millisecondsPerSecond) this.startWindow(nowMs)
    const isFull = this.writtenLines >= maxLinesPerSecond || process.stdout.writableLength > maxBufferedBytes
    if (isFull) {
      this.droppedLines++
      return
    }
    this.writtenLines++
    const { at, data, ...fields } = event
    this.logger.info({ time: at.wallMs, ...fields, ...data })
  }

  private startWindow (nowMs: number): void {
    this.windowStartMs = nowMs
    this.writtenLines = 0
    if (this.droppedLines === 0) return
    this.logger.info({ name: 'lines-dropped', count: this.droppedLines })
    this.droppedLines = 0
  }
}
