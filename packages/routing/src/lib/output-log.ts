/**
 * Logs the outputs of one stage for one request, so that they can be replayed to a replacement of the next stage without
 * recomputing them.
 */

/** A log of outputs by position, bounded in bytes; the oldest outputs are evicted first. */
export class OutputLog<Output> {
  private outputs: Output[] = []
  private firstPosition = 0
  private bytes = 0

  /**
   * @param maxBytes - maximum total size of the logged outputs, in bytes
   * @param measureBytes - returns the size of an output, in bytes
   */
  constructor (
    private readonly maxBytes: number,
    private readonly measureBytes: (output: Output) => number
  ) {}

  /** @returns the first position still in the log */
  getStart (): number {
    return this.firstPosition
  }

  /** @returns the position after the last logged output */
  getEnd (): number {
    return this.firstPosition + this.outputs.length
  }

  /** @returns the total size of the logged outputs, in bytes */
  getBytes (): number {
    return this.bytes
  }

  /**
   * Appends outputs, and evicts the oldest ones beyond the size limit.
   *
   * @param outputs - outputs of the positions from {@link getEnd} on
   */
  append (outputs: readonly Output[]): void {
    for (const output of outputs) {
      this.outputs.push(output)
      this.bytes += this.measureBytes(output)
    }
    this.trim()
  }

  /**
   * @param from - first position to read, at least {@link getStart}
   * @returns all outputs from that position on
   */
  read (from: number): Output[] {
    return this.outputs.slice(Math.max(0, from - this.firstPosition))
  }

  private trim (): void {
    let dropped = 0
    while (this.bytes > this.maxBytes && dropped < this.outputs.length) {
      this.bytes -= this.measureBytes(this.outputs[dropped] as Output)
      dropped++
    }
    if (dropped === 0) return
    this.outputs = this.outputs.slice(dropped)
    this.firstPosition += dropped
  }
}
