/**
 * Writes journal events as lines of JSON to standard output, with a bound on the lines of a second and without ever
 * waiting for the reader.
 */
import { Logger } from 'tslog'
import type { Clock } from './clock.js'
import type { JournalEvent } from './journal.js'

/** Lines of a second beyond which lines are dropped and counted. */
const maxLinesPerSecond = 400
/** Bytes that may wait for a slow reader of standard output. */
const maxWaitingBytes = 262_144
const millisecondsPerSecond = 1000

interface BlockingHandle {
  setBlocking?: (isBlocking: boolean) => void
}

/** Writes events of one process. */
export class EventLines {
  private readonly logger = new Logger<Record<string, unknown>>({ type: 'hidden', hideLogPositionForProduction: true })
  private windowStartMs = 0
  private written = 0
  private dropped = 0

  constructor (private readonly clock: Clock) {
    const handle = (process.stdout as unknown as { _handle?: BlockingHandle })._handle
    handle?.setBlocking?.(false)
    this.logger.attachTransport(({ _meta: _, ...line }) => { process.stdout.write(`${JSON.stringify(line)}\n`) })
  }

  /** Writes an event, or counts it if there are too many. */
  write (event: JournalEvent): void {
    const nowMs = this.clock.now()
    if (nowMs - this.windowStartMs >= millisecondsPerSecond) this.beginWindow(nowMs)
    const isFull = this.written >= maxLinesPerSecond || process.stdout.writableLength > maxWaitingBytes
    if (isFull) {
      this.dropped++
      return
    }
    this.written++
    const { at, data, ...fields } = event
    this.logger.info({ time: at.wallMs, ...fields, ...data })
  }

  private beginWindow (nowMs: number): void {
    this.windowStartMs = nowMs
    this.written = 0
    if (this.dropped === 0) return
    this.logger.info({ name: 'lines-dropped', count: this.dropped })
    this.dropped = 0
  }
}
