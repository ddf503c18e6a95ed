/**
 * The inputs of a run's first stage by position: the rows of the prompt, then those of the tokens generated so far.
 */
export class RunInputs {
  private rows: Uint8Array[] = []
  private promptLength = 0
  private fedTo = 0

  /** @returns whether the prompt's rows are known */
  hasPrompt (): boolean {
    return this.promptLength > 0
  }

  /**
   * Takes the rows of the prompt, as the first stage encoded it.
   *
   * @param rows - one row for each position
   */
  acceptPrompt (rows: readonly Uint8Array[]): void {
    this.rows = [...rows]
    this.promptLength = rows.length
  }

  /** Adds the row of the next token. */
  addToken (row: Uint8Array): void {
    this.rows.push(row)
  }

  /** @returns number of tokens generated so far */
  countTokens (): number {
    return this.rows.length - this.promptLength
  }

  /** @returns position after the last one whose token is here */
  getDeliveredTo (): number {
    return this.countTokens() === 0 ? 0 : this.rows.length - 1
  }

  /** @returns position whose output is the next token that is missing here */
  getNextPosition (): number {
    return Math.max(this.getDeliveredTo(), this.promptLength - 1)
  }

  /**
   * Sends rows again, or passes over rows that stages have already.
   *
   * @param position - first position that the first stage lacks
   */
  moveTo (position: number): void {
    this.fedTo = position
  }

  /** @returns rows that the first stage has not been fed, with the position of the first of them */
  takeUnfed (): { position: number, rows: Uint8Array[] } {
    const position = this.fedTo
    const rows = this.rows.slice(position)
    this.fedTo += rows.length
    return { position, rows }
  }
}
