/**
 * Admission control of an endpoint, which prevents one team from using up the capacity that other teams need.
 *
 * Each team may hold up to a multiple of the capacity that is still free (dynamic thresholds, as in switches with a
 * shared packet buffer). A single active team can use nearly the whole capacity, a team with a low factor is stopped
 * earlier, and some capacity always stays free for the next request of a team that holds none.
 */

/** Returns the multiple of the free capacity that a team may hold; greater than 0. */
export type FreeCapacityFactorProvider = (team: string) => number

/** Counts the requests that each team holds at one endpoint. */
export class AdmissionControl {
  private readonly heldByTeam = new Map<string, number>()
  private held = 0

  /**
   * @param getCapacity - returns the number of requests that the endpoint may hold at present
   * @param getFreeCapacityFactor - returns the multiple of the free capacity that a team may hold at present
   */
  constructor (
    private readonly getCapacity: () => number,
    private readonly getFreeCapacityFactor: FreeCapacityFactorProvider
  ) {}

  /** @returns whether a request of the team would be admitted now */
  canAdmit (team: string): boolean {
    const free = this.getCapacity() - this.held
    return free > 0 && (this.heldByTeam.get(team) ?? 0) < this.getFreeCapacityFactor(team) * free
  }

  /** Records that a request of the team was admitted. */
  add (team: string): void {
    this.held++
    this.heldByTeam.set(team, (this.heldByTeam.get(team) ?? 0) + 1)
  }

  /** Records that a request of the team has ended. */
  remove (team: string): void {
    this.held--
    const left = (this.heldByTeam.get(team) ?? 0) - 1
    if (left > 0) this.heldByTeam.set(team, left)
    else this.heldByTeam.delete(team)
  }
}
