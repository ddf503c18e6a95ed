/**
 * Replays the demand of a fleet whose types are spread unevenly, and adds up what crosses the links between data centres.
 */
import type { CallEndpoint, EngineConfig, LayerAssignment, LayoutMember, PathPart, RequestSize } from '@clementineloft/routing'
import type { Clock } from '@clementineloft/kernel'
import { createEndpoints } from '@clementineloft/routing/test-fleet'
import { WaitBriefly } from './overload-policy.js'
import { LeastCostPlacement } from './placement-policy.js'
import { ReplayRun } from './replay-run.js'
import type { ReplayLoad, ReplayResult } from './replay-load.js'

/** Number of entries, the same in each data centre. */
const entries = 9
const seed = 5
const bitsPerByte = 8
const bytesPerMegabyte = 1_000_000

/** Result of a replay with the use of links. */
export interface DemandResult extends ReplayResult {
  /** Mean utilization of the most loaded link between two data centres, from 0; above 1 it could not carry the load. */
  linkUtilization: number
}

/** The router's placement, which also adds up the megabits that cross each link. */
class LinkCountingPlacement extends LeastCostPlacement {
  constructor (private readonly terms: EngineConfig, dataCentre: string, clock: Clock, private readonly megabits: Map<string, number>) {
    super(terms, dataCentre, entries, clock)
  }

  override recordStart (parts: readonly PathPart[], size: RequestSize): void {
    super.recordStart(parts, size)
    const transferred = (size.promptTokens + size.answerTokens) * this.terms.activationBytes * bitsPerByte / bytesPerMegabyte
    for (const [index, { endpoint }] of parts.entries()) {
      const next = parts[index + 1]?.endpoint.dataCentre ?? endpoint.dataCentre
      const link = [endpoint.dataCentre, next].sort().join(' ')
      if (next !== endpoint.dataCentre) this.megabits.set(link, (this.megabits.get(link) ?? 0) + transferred)
    }
  }
}

/** @returns endpoints of the members that hold layers */
export const listHolders = (members: readonly LayoutMember[], layout: readonly LayerAssignment[]): CallEndpoint[] =>
  createEndpoints(members, layout).filter(({ layers }) => layers !== undefined)

/** Replays a load on the members with the layers of a layout. */
export const runDemand = (
  members: readonly LayoutMember[],
  layout: readonly LayerAssignment[],
  engine: EngineConfig,
  load: Omit<ReplayLoad, 'teams' | 'entries'>
): DemandResult => {
  const megabits = new Map<string, number>()
  const result = new ReplayRun(listHolders(members, layout), engine, { ...load, teams: ['one'], entries }, {
    createPlacement: (dataCentre, clock) => new LinkCountingPlacement(engine, dataCentre, clock, megabits),
    overload: new WaitBriefly()
  }, seed).run()
  return { ...result, linkUtilization: Math.max(0, ...megabits.values()) / load.seconds / engine.dataCentreLinkMbps }
}
