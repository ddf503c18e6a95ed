/**
 * Splits a byte stream of server-sent events (`text/event-stream`) at event boundaries, so that only complete events are
 * forwarded and an interrupted stream can resume after the last of them.
 */
import { BlockBuffer } from '../callers/block-buffer.js'

const lineFeed = 0x0a
const carriageReturn = 0x0d
const idField = 'id:'

/** Complete events, as bytes. */
export interface EventBatch {
  bytes: Buffer
  /** Number of events. */
  count: number
  /** Id of the last event that has one. */
  lastId?: string
}

/**
 * Buffers the incomplete event at the end of the bytes received so far. Each byte is searched and copied once, so that an
 * event that arrives in many small pieces costs no more than one that arrives whole.
 */
export class EventSplitter {
  private readonly pending = new BlockBuffer()
  private readonly end = new EventEnd()

  /**
   * @param chunk - next bytes of the stream
   * @returns the events that are complete now, or `undefined` if there are none
   */
  add (chunk: Buffer): EventBatch | undefined {
    const events: Buffer[] = []
    let start = 0
    for (let position = this.end.find(chunk, 0); position !== -1; position = this.end.find(chunk, position)) {
      this.keep(chunk.subarray(start, position))
      events.push(this.pending.take())
      start = position
    }
    this.keep(chunk.subarray(start))
    if (events.length === 0) return undefined
    const lastId = events.map(findId).findLast((id) => id !== undefined)
    return { bytes: Buffer.concat(events), count: events.length, ...(lastId === undefined ? {} : { lastId }) }
  }

  /** @returns number of bytes of the incomplete event; 0 if the stream is at an event boundary */
  getIncompleteBytes (): number {
    return this.pending.getLength()
  }

  /** @returns memory of the incomplete event, in bytes */
  getCost (): number {
    return this.pending.getCost()
  }

  /** Drops the incomplete event. */
  clear (): void {
    this.pending.clear()
  }

  private keep (bytes: Buffer): void {
    if (bytes.length === 0) return
    this.pending.append(bytes)
  }
}

/** Finds the empty line that ends an event, across chunks. */
class EventEnd {
  /** Whether the bytes so far end with a line feed, with or without a carriage return after it. */
  private isAtLineStart = false
  private hasCarriageReturn = false

  /** @returns the position after the next empty line, or -1 if there is none in the rest of the chunk */
  find (chunk: Buffer, from: number): number {
    let position = from
    while (position < chunk.length) {
      if (!this.isAtLineStart) {
        const lineEnd = chunk.indexOf(lineFeed, position)
        if (lineEnd === -1) return -1
        this.isAtLineStart = true
        position = lineEnd + 1
        continue
      }
      const byte = chunk[position++]
      const isEmptyLine = byte === lineFeed
      this.isAtLineStart = byte === carriageReturn && !this.hasCarriageReturn
      this.hasCarriageReturn = this.isAtLineStart
      if (isEmptyLine) return position
    }
    return -1
  }
}

const findId = (event: Buffer): string | undefined => {
  for (const line of event.toString('latin1').split('\n')) {
    if (line.startsWith(idField)) return line.slice(idField.length).trim()
  }
  return undefined
}
