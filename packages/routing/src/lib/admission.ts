/**
 * Decides whether an endpoint takes one more request, so that no team fills it at the cost of others.
 *
 * Each team may hold a multiple of the places that are still free (dynamic thresholds, as in shared packet buffers). A
 * team alone comes close to all places, a flood of a team with low terms stops earlier, and some places always stay
 * free for the next request of a team that holds nothing.
 */

/** Gives the multiple of the free places that a team may hold; greater than 0. */
export type FreeFactor = (team: string) => number

/** Counts the requests that each team holds at one endpoint. */
export class Admission {
  private readonly heldByTeam = new Map<string, number>()
  private held = 0

  /**
   * @param getPlaces - requests that the endpoint may hold at present
   * @param getFreeFactor - present terms of a team
   */
  constructor (
    private readonly getPlaces: () => number,
    private readonly getFreeFactor: FreeFactor
  ) {}

  /** @returns whether a request of the team would be admitted now */
  canAdmit (team: string): boolean {
    const free = this.getPlaces() - this.held
    return free > 0 && (this.heldByTeam.get(team) ?? 0) < this.getFreeFactor(team) * free
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
}
