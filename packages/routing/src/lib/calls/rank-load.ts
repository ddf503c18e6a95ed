/**
 * Calls of one service by priority rank, as processes tell each other. Numbers of other processes are bounded here, so that
 * no decision depends on an absurd one and a list takes at most 34 bytes in a message.
 */

/** Calls of one rank. */
export interface RankLoad {
  /** Priority; 0 is the most urgent. */
  rank: number
  /** Number of calls. */
  count: number
  /** Tokens of prompts and expected answers together. */
  tokens: number
}

/** Maximum number of ranks in a list. */
export const maxRanks = 4
/** Bounds of rank, count and tokens: one, three and four bytes in a message. */
export const maxRank = 127
export const maxRankCount = 2 ** 21 - 1
export const maxRankTokens = 2 ** 28 - 1

/** @returns the nearest integer from 0 to a bound; 0 for what is no number */
const boundNumber = (value: number, bound: number): number => Number.isNaN(value) ? 0 : Math.round(Math.min(bound, Math.max(0, value)))

/** @returns the rank within its bounds; what is no number counts as least urgent, so that it holds nothing back */
export const boundRank = (rank: number): number => Number.isNaN(rank) ? maxRank : Math.floor(Math.min(maxRank, Math.max(0, rank)))

/**
 * Adds up calls by rank.
 *
 * @param limit - number of ranks to list, from the most urgent one; the others would hold back only ranks less urgent still
 * @returns the ranks that have calls, most urgent first, all numbers within their bounds
 */
export const addRankLoads = (loads: Iterable<RankLoad>, limit: number = maxRanks): RankLoad[] => {
  const sums = new Map<number, RankLoad>()
  for (const load of loads) {
    const rank = boundRank(load.rank)
    const count = boundNumber(load.count, maxRankCount)
    if (count === 0) continue
    const sum = sums.get(rank) ?? { rank, count: 0, tokens: 0 }
    sum.count = boundNumber(sum.count + count, maxRankCount)
    sum.tokens = boundNumber(sum.tokens + boundNumber(load.tokens, maxRankTokens), maxRankTokens)
    sums.set(rank, sum)
  }
  return [...sums.values()].sort((a, b) => a.rank - b.rank).slice(0, limit)
}

/** @returns for each rank of two lists the greater of its counts and of its tokens, most urgent first */
export const mergeGreatest = (first: readonly RankLoad[], second: readonly RankLoad[]): RankLoad[] => {
  const merged = new Map(first.map((load) => [load.rank, load]))
  for (const load of second) {
    const known = merged.get(load.rank)
    merged.set(load.rank, known === undefined
      ? load
      : { rank: load.rank, count: Math.max(known.count, load.count), tokens: Math.max(known.tokens, load.tokens) })
  }
  return [...merged.values()].sort((a, b) => a.rank - b.rank)
}

const loadFields = 3

/** @returns rank, count and tokens of each load in a flat list, as messages carry it */
export const formatRankLoads = (loads: readonly RankLoad[]): number[] => addRankLoads(loads).flatMap(({ rank, count, tokens }) => [rank, count, tokens])

/** @returns the loads of a flat list of any length and content, within their bounds */
export const parseRankLoads = (numbers: readonly number[]): RankLoad[] => {
  const loads: RankLoad[] = []
  for (let index = 0; index + loadFields <= Math.min(numbers.length, maxRanks * loadFields); index += loadFields) {
    const [rank, count, tokens] = numbers.slice(index, index + loadFields) as [number, number, number]
    loads.push({ rank, count, tokens })
  }
  return addRankLoads(loads)
}
