/**
 * Streams for which no place is free: a burst, half of the endpoints lost, one team that floods the others, by the way
 * in which callers wait, are refused and come back.
 */
import type { LayerAssignment } from '@clementineloft/routing'
import { engine } from '@clementineloft/routing/test-fleet'
import { createMixedFleet, createRouterPlacement } from '../replay/mixed-fleet.js'
import { ReplayRun } from '../replay/replay-run.js'
import type { ReplayLoad, ReplayResult } from '../replay/replay-run.js'
import { RefuseImmediately, WaitBriefly, WaitUntilDeadline } from '../replay/overload-policy.js'
import type { OverloadPolicy } from '../replay/overload-policy.js'
import { computeQuantile, formatShare } from './table.js'
import type { MeasuredTable } from './table.js'

const seed = 11
const seconds = 30
/** Load on usual days and in a burst, as shares of the bound. */
const usualShare = 0.25
const burstShare = 1.7 * usualShare
const disturbedFrom = 10
const disturbedTo = 20
const teams = ['north', 'south', 'east', 'west', 'centre']
const rival = 'rival'

const ways: Array<[string, OverloadPolicy]> = [
  ['refused at once, back at once', new RefuseImmediately()],
  ['waits to the end of its time', new WaitUntilDeadline()],
  ['waits shortly, comes back spread (ours)', new WaitBriefly()]
]

const isDisturbed = (second: number): boolean => second >= disturbedFrom && second < disturbedTo

/** @returns the endpoints of every second group, so that the others still hold every layer */
const listSecondGroups = (layout: readonly LayerAssignment[]): Set<string> =>
  new Set(layout.filter((assignment) => assignment.wave % 2 === 1).map((assignment) => assignment.address))

const createLoads = (bound: number, layout: readonly LayerAssignment[]): Array<[string, ReplayLoad]> => [
  ['burst of 1.7 for 10 s', { seconds, teams, getRate: (second) => bound * (isDisturbed(second) ? burstShare : usualShare) }],
  ['every second group lost', { seconds, teams, getRate: () => bound * usualShare, lossSecond: disturbedFrom, lost: listSecondGroups(layout) }],
  ['half of the calls from one team, 1.7 for 10 s', {
    seconds, teams: [...teams, ...teams.map(() => rival)], getRate: (second) => bound * (isDisturbed(second) ? burstShare : usualShare)
  }]
]

const countTeams = (counts: ReadonlyMap<string, number>): number => teams.reduce((sum, team) => sum + (counts.get(team) ?? 0), 0)

const formatResult = (result: ReplayResult): string[] => {
  const { arrived, served, inTime, refusals, left, firstEventMs, arrivedByTeam, servedByTeam } = result
  return [
    formatShare(served, arrived), formatShare(countTeams(servedByTeam), countTeams(arrivedByTeam)), formatShare(inTime, arrived),
    formatShare(refusals, arrived), formatShare(left, arrived), computeQuantile(firstEventMs, 0.5).toFixed(0), computeQuantile(firstEventMs, 0.95).toFixed(0)
  ]
}

/** Measures ways of turning callers away. */
export const measureTurningAway = (): MeasuredTable => {
  const { layout, endpoints, bound } = createMixedFleet()
  const rows = createLoads(bound, layout).flatMap(([pattern, load]) => ways.map(([name, turning]) => {
    const run = new ReplayRun(endpoints, engine, load, { createPlacement: createRouterPlacement, overload: turning }, seed)
    return [pattern, name, ...formatResult(run.run())]
  }))
  return {
    title: 'Turning away: streams for which no place is free',
    note: `The fleet and the entries of the table above, ${seconds} s at ${usualShare} of the bound of ${bound.toFixed(0)} streams a second; refused callers come back once. Others: the five teams without the one that sends half of the calls. Seed ${seed}.`,
    columns: ['load', 'way', 'served', 'others served', 'in time', 'refused', 'left', 'first event p50 ms', 'p95 ms'],
    rows
  }
}
