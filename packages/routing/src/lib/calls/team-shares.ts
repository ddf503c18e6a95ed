/**
 * Recent usage of one service by each team, which decides whose call goes next.
 *
 * Addresses a flood of calls of one team, which would otherwise delay those of all others, and teams with large calls,
 * which order by tokens alone would serve as rarely as their calls are large.
 */
import type { Clock } from '@clementineloft/kernel'

/** Time after which the usage of each team is halved, in milliseconds, so that only recent usage counts. */
const halfLifeMs = 5000
/** Number below which usage in tokens, and starts, are forgotten, so that memory is bounded by the teams that are active. */
const minTokens = 0.5
const minStarts = 0.05
/** Fraction of the mean starts of the teams that ask below which a team goes first, whatever its usage in tokens. */
const minShareOfMean = 0.25

const addTo = <Key>(counts: Map<Key, number>, key: Key, amount: number): void => { counts.set(key, (counts.get(key) ?? 0) + amount) }

/** Divides all counts, and drops those below the minimum. */
const decayCounts = <Key>(counts: Map<Key, number>, divisor: number, min: number): void => {
  for (const [key, count] of counts) {
    if (count / divisor < min) counts.delete(key)
    else counts.set(key, count / divisor)
  }
}

const countAll = (counts: ReadonlyMap<string, number>): number => [...counts.values()].reduce((sum, count) => sum + count, 0)

/** @returns the first team with the lowest value */
const pickLowest = (teams: readonly string[], getValue: (team: string) => number): string =>
  teams.reduce((lowest, team) => getValue(team) < getValue(lowest) ? team : lowest)

/** Usage of one service by its teams. */
export class TeamShares {
  private readonly tokensByTeam = new Map<string, number>()
  /** Recent starts by rank and team. */
  private readonly startsByRank = new Map<number, Map<string, number>>()
  private lastDecayMs = 0

  constructor (private readonly clock: Clock) {}

  /**
   * Records the start of a call.
   *
   * @param cost - work of the call, in tokens
   */
  recordStart (rank: number, team: string, cost: number): void {
    this.decay()
    addTo(this.tokensByTeam, team, cost)
    const starts = this.startsByRank.get(rank) ?? new Map<string, number>()
    addTo(starts, team, 1)
    this.startsByRank.set(rank, starts)
  }

  /** @returns recent usage of a team, in tokens */
  getUsage (team: string): number {
    return this.tokensByTeam.get(team) ?? 0
  }

  /** @returns fraction of the recent starts that were of more urgent ranks */
  computeMoreUrgentShare (rank: number): number {
    this.decay()
    let total = 0
    let moreUrgent = 0
    for (const [other, startsByTeam] of this.startsByRank) {
      const starts = countAll(startsByTeam)
      total += starts
      if (other < rank) moreUrgent += starts
    }
    return total === 0 ? 0 : moreUrgent / total
  }

  /**
   * @param teams - teams with waiting calls of the rank, at least one, in the order in which their calls arrived
   * @returns the team whose call goes next: the least served one of those that are far below the mean, or else the one with
   *   the lowest usage
   */
  pickNext (rank: number, teams: readonly string[]): string {
    this.decay()
    const starts = this.startsByRank.get(rank) ?? new Map<string, number>()
    const getStarts = (team: string): number => starts.get(team) ?? 0
    const asking = starts.size + teams.filter((team) => !starts.has(team)).length
    const minimum = countAll(starts) / asking * minShareOfMean
    const leastServed = pickLowest(teams, getStarts)
    return getStarts(leastServed) < minimum ? leastServed : pickLowest(teams, (team) => this.getUsage(team))
  }

  private decay (): void {
    const halvings = Math.floor((this.clock.now() - this.lastDecayMs) / halfLifeMs)
    if (halvings < 1) return
    this.lastDecayMs += halvings * halfLifeMs
    decayCounts(this.tokensByTeam, 2 ** halvings, minTokens)
    for (const [rank, starts] of this.startsByRank) {
      decayCounts(starts, 2 ** halvings, minStarts)
      if (starts.size === 0) this.startsByRank.delete(rank)
    }
  }
}
