/**
 * Decides whether an endpoint takes one more request, so that no team fills it at the cost of others.
 *
 * Below a soft limit, which is lower for lower classes, everyone is admitted. Above it only teams that hold less than
 * their weighted share are, so that a burst or a flood of one team leaves room for the next request of another.
 */

/** Terms that admission depends on. */
export interface AdmissionTerms {
  /** Share of the team relative to others. */
  weight: number
  /** Part of the places that the team's class may fill freely, from 0 to 1. */
  openShare: number
}

/** Counts the requests that each team holds at one endpoint. */
export class Admission {
  private readonly heldByTeam = new Map<string, number>()
  private held = 0

  /**
   * @param places - requests that the endpoint holds at most
   * @param getTerms - present terms of a team
   * @param reservedWeight - weight of a team that holds nothing yet, for which places are kept
   */
  constructor (
    private readonly places: number,
    private readonly getTerms: (team: string) => AdmissionTerms,
    private readonly reservedWeight: number
  ) {}

  /** @returns whether a request of the team would be admitted now */
  canAdmit (team: string): boolean {
    if (this.held >= this.places) return false
    const terms = this.getTerms(team)
    if (this.held < this.places * terms.openShare) return true
    return (this.heldByTeam.get(team) ?? 0) < this.computeShare(team, terms.weight)
  }

  /** Counts a request that was admitted. */
  add (team: string): void {
    this.held++
    this.heldByTeam.set(team, (this.heldByTeam.get(team) ?? 0) + 1)
  }

  /** Counts a request that has ended. */
  remove (team: string): void {
    this.held--
    const left = (this.heldByTeam.get(team) ?? 0) - 1
    if (left > 0) this.heldByTeam.set(team, left)
    else this.heldByTeam.delete(team)
  }

  private computeShare (team: string, weight: number): number {
    let total = weight + this.reservedWeight
    for (const other of this.heldByTeam.keys()) {
      if (other !== team) total += this.getTerms(other).weight
    }
    return this.places * weight / total
  }
}
