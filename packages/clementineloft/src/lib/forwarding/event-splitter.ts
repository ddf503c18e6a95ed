/**
 * Splits a byte stream of server-sent events (`text/event-stream`) at event boundaries, so that only complete events are
 * forwarded and an interrupted stream can resume after the last of them.
 */

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

/** Buffers the incomplete event at the end of the bytes received so far. */
export class EventSplitter {
  private pendingBytes: Buffer = Buffer.alloc(0)

  /**
   * @param chunk - next bytes of the stream
   * @returns the events that are complete now, or `undefined` if there are none
   */
  add (chunk: Buffer): EventBatch | undefined {
    const bytes = this.pendingBytes.length === 0 ? chunk : Buffer.concat([this.pendingBytes, chunk])
    let end = 0
    let count = 0
    let lastId: string | undefined
    for (let eventEnd = findEventEnd(bytes, end); eventEnd !== -1; eventEnd = findEventEnd(bytes, end)) {
      lastId = findId(bytes.subarray(end, eventEnd)) ?? lastId
      end = eventEnd
      count++
    }
    this.pendingBytes = bytes.subarray(end)
    if (count === 0) return undefined
    return { bytes: bytes.subarray(0, end), count, ...(lastId === undefined ? {} : { lastId }) }
  }

  /** @returns the bytes of the incomplete event; empty if the stream is at an event boundary */
  getIncompleteEvent (): Buffer {
    return this.pendingBytes
  }
}

/** @returns the position after the empty line that ends the next event, or -1 if the event is incomplete */
const findEventEnd = (bytes: Buffer, from: number): number => {
  for (let position = bytes.indexOf(lineFeed, from); position !== -1; position = bytes.indexOf(lineFeed, position + 1)) {
    if (bytes[position + 1] === lineFeed) return position + 2
    if (bytes[position + 1] === carriageReturn && bytes[position + 2] === lineFeed) return position + 3
  }
  return -1
}

const findId = (event: Buffer): string | undefined => {
  for (const line of event.toString('latin1').split('\n')) {
    if (line.startsWith(idField)) return line.slice(idField.length).trim()
  }
  return undefined
}
