/**
 * Cuts a stream of events (`text/event-stream`) at the ends of events, so that only whole events are passed on and a
 * broken stream can go on after the last of them.
 */

const lineFeed = 0x0a
const carriageReturn = 0x0d
const idField = 'id:'

/** Whole events, as bytes. */
export interface EventBatch {
  bytes: Buffer
  /** Number of events. */
  count: number
  /** Identity of the last event that names one. */
  lastId?: string
}

/** Holds back the event that is not whole yet. */
export class EventSplitter {
  private pendingBytes: Buffer = Buffer.alloc(0)

  /**
   * @param chunk - bytes as they arrive
   * @returns the events that are whole now, or `undefined`
   */
  add (chunk: Buffer): EventBatch | undefined {
    const bytes = this.pendingBytes.length === 0 ? chunk : Buffer.concat([this.pendingBytes, chunk])
    let end = 0
    let count = 0
    let lastId: string | undefined
    for (let next = findEventEnd(bytes, end); next !== -1; next = findEventEnd(bytes, end)) {
      lastId = findId(bytes.subarray(end, next)) ?? lastId
      end = next
      count++
    }
    this.pendingBytes = bytes.subarray(end)
    if (count === 0) return undefined
    return { bytes: bytes.subarray(0, end), count, ...(lastId === undefined ? {} : { lastId }) }
  }

  /** @returns the bytes of the event that is not whole */
  getIncompleteEvent (): Buffer {
    return this.pendingBytes
  }
}

/** @returns the position after the empty line that ends the next event, or -1 */
const findEventEnd = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(lineFeed, from); at !== -1; at = bytes.indexOf(lineFeed, at + 1)) {
    if (bytes[at + 1] === lineFeed) return at + 2
    if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) return at + 3
  }
  return -1
}

const findId = (event: Buffer): string | undefined => {
  for (const line of event.toString('latin1').split('\n')) {
    if (line.startsWith(idField)) return line.slice(idField.length).trim()
  }
  return undefined
}
