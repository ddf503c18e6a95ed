/**
 * Derives from the configuration which priority ranks the calls of a service can have.
 */
import type { CallConfig } from './call-config.js'
import { boundRank } from './rank-load.js'

/** @returns the ranks, most urgent first; a team's rank overrides that of the route, and any team may call any route */
export const listServiceRanks = (config: CallConfig, service: string): number[] => {
  const ranks = new Set<number>()
  const hasUnrankedCallers = config.teams.length === 0 || config.teams.some((team) => team.priority === undefined)
  for (const route of config.routes) {
    if (!route.targets.some((target) => target.service === service)) continue
    if (hasUnrankedCallers || route.isPublic) ranks.add(boundRank(route.priority))
    for (const { priority } of config.teams) if (priority !== undefined) ranks.add(boundRank(priority))
  }
  return [...ranks].sort((a, b) => a - b)
}
