/**
 * Rendezvous hashing: every process ranks the same candidates for a key in the same order, without coordination.
 */
import { computeHash32 } from '@clementineloft/kernel'

/**
 * @param key - key to assign to a candidate
 * @param candidates - names of the candidates
 * @returns the candidates, best first; removing one does not reorder the others
 */
export const rankCandidates = (key: string, candidates: readonly string[]): string[] =>
  candidates
    .map((name) => ({ name, score: computeHash32(`${key}/${name}`) }))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map((candidate) => candidate.name)
