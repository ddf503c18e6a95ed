/**
 * The outputs of one stage for one request, kept so that a replacement of the next stage can be fed without running
 * this stage again.
 */

/** A log of outputs by position, bounded in bytes: the oldest outputs go first. */
export class OutputLog<Output> {
  private outputs: Output[] = []
  private firstPosition = 0
  private bytes = 0

  /**
   * @param maxBytes - bound on the size of the outputs held
   * @param measure - gives the size of an output in bytes
   */
  constructor (
    private readonly maxBytes: number,
    private readonly measure: (output: Output) => number
  ) {}

  /** @returns the first position that is still held */
  getStart (): number {
    return this.firstPosition
  }

  /** @returns the position after the last output */
  getEnd (): number {
    return this.firstPosition + this.outputs.length
  }

  /** @returns the size of the outputs held, in bytes */
  getBytes (): number {
    return this.bytes
  }

  /** @param outputs - outputs for the positions from {@link getEnd} on */
  append (outputs: readonly Output[]): void {
    for (const output of outputs) {
      this.outputs.push(output)
      this.bytes += this.measure(output)
    }
    this.trim()
  }

  /**
   * @param from - first position wanted, at least {@link getStart}
   * @returns the outputs from there on
   */
  read (from: number): Output[] {
    return this.outputs.slice(Math.max(0, from - this.firstPosition))
  }

  private trim (): void {
    let dropped = 0
    while (this.bytes > this.maxBytes && dropped < this.outputs.length) {
      this.bytes -= this.measure(this.outputs[dropped] as Output)
      dropped++
    }
    if (dropped === 0) return
    this.outputs = this.outputs.slice(dropped)
    this.firstPosition += dropped
  }
}
