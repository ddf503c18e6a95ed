/**
 * Spreads faults evenly over answers, so that their share is within its limit after each answer.
 */

/** Decides which answers of one endpoint are faulty. */
export class FaultShare {
  /** @param share - largest share of faulty answers, from 0 to 1 */
  constructor (share) {
    this.share = share
    this.answers = 0
    this.faults = 0
  }

  /** Counts an answer. @returns whether it is faulty */
  takeNext () {
    this.answers++
    if (this.faults + 1 > this.answers * this.share) return false
    this.faults++
    return true
  }

  /** @returns number of faulty answers of all, as text for the record */
  describe () {
    return `${this.faults} of ${this.answers} answers in the time of the disruption`
  }
}
