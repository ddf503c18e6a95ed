/**
 * Record of one run: lines with the time since its start, written to `record.txt` of the case.
 */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Collects lines and writes them when the run ends. */
export class Record {
  /** @param folder - folder of the case */
  constructor (folder) {
    this.file = join(folder, 'record.txt')
    this.startMs = performance.now()
    this.lines = []
  }

  /** @returns milliseconds since the start of the run */
  now () {
    return performance.now() - this.startMs
  }

  /** Adds a line. */
  add (text) {
    this.lines.push(`${this.now().toFixed(0).padStart(7)} ms  ${text}`)
  }

  /** Writes all lines. */
  save () {
    writeFileSync(this.file, this.lines.join('\n') + '\n')
  }
}
