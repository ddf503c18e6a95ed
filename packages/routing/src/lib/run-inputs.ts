/**
 * Inputs of a run's first stage, by position: the rows of the prompt, then the rows of the tokens generated so far.
 */
export class RunInputs {
  private rows: Uint8Array[] = []
  private promptLength = 0
  private nextToFeed = 0

  /** @returns whether the prompt's rows are known */
  hasPrompt (): boolean {
    return this.promptLength > 0
  }

  /**
   * Stores the rows of the prompt as encoded by the first stage.
   *
   * @param rows - one row per position
   */
  acceptPrompt (rows: readonly Uint8Array[]): void {
    this.rows = [...rows]
    this.promptLength = rows.length
  }

  /** Appends the row of the next token. */
  addToken (row: Uint8Array): void {
    this.rows.push(row)
  }

  /** @returns number of tokens generated so far */
  countTokens (): number {
    return this.rows.length - this.promptLength
  }

  /** @returns position after the last one whose token has been received; 0 if there are no tokens yet */
  getDeliveredTo (): number {
    return this.countTokens() === 0 ? 0 : this.rows.length - 1
  }

  /** @returns position whose output is the next token to receive */
  getNextTokenPosition (): number {
    return Math.max(this.getDeliveredTo(), this.promptLength - 1)
  }

  /**
   * Sets the position to feed from: an earlier one to resend rows, a later one to skip rows that the stages already have.
   *
   * @param position - first position that the first stage has not accepted
   */
  resumeFrom (position: number): void {
    this.nextToFeed = position
  }

  /** @returns rows not yet fed to the first stage and the position of the first of them; marks them as fed */
  takeUnfed (): { position: number, rows: Uint8Array[] } {
    const position = this.nextToFeed
    const rows = this.rows.slice(position)
    this.nextToFeed += rows.length
    return { position, rows }
  }
}
