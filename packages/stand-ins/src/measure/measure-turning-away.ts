/**
 * Compares overload policies, which decide how callers wait, are refused and retry when no capacity is free. The loads are
 * a burst, the loss of half of the endpoints, and a team that floods the others.
 */
import type { LayerAssignment } from '@clementineloft/routing'
import { engine } from '@clementineloft/routing/test-fleet'
import { createMixedFleet, createRouterPlacement } from '../replay/mixed-fleet.js'
import { ReplayRun } from '../replay/replay-run.js'
import type { ReplayLoad, ReplayResult } from '../replay/replay-load.js'
import { RefuseImmediately, WaitBriefly, WaitFixedTime, WaitUntilDeadline } from '../replay/overload-policy.js'
import type { OverloadPolicy } from '../replay/overload-policy.js'
import { computeQuantile, formatShare } from './table.js'
import type { MeasuredTable } from './table.js'

const seed = 11
const seconds = 30
/** Normal load and load in a burst, as fractions of the flow bound. */
const normalShare = 0.25
const burstShare = 1.7 * normalShare
const disturbedFrom = 10
const disturbedTo = 20
const teams = ['north', 'south', 'east', 'west', 'centre']
const floodingTeam = 'rival'

const policies: Array<[string, OverloadPolicy]> = [
  ['refused immediately, retries immediately', new RefuseImmediately()],
  ['waits until its deadline', new WaitUntilDeadline()],
  ['waits up to 1.5 s, retries spread over the wait', new WaitFixedTime()],
  ['waits while of use, retries one after another (ours)', new WaitBriefly()]
]

const isDisturbed = (second: number): boolean => second >= disturbedFrom && second < disturbedTo

/** @returns addresses of the endpoints in groups with odd numbers; the remaining groups still hold every layer */
const listOddGroups = (layout: readonly LayerAssignment[]): Set<string> =>
  new Set(layout.filter((assignment) => assignment.wave % 2 === 1).map((assignment) => assignment.address))

const createLoads = (bound: number, layout: readonly LayerAssignment[]): Array<[string, ReplayLoad]> => [
  ['burst of 1.7 for 10 s', { seconds, teams, getRate: (second) => bound * (isDisturbed(second) ? burstShare : normalShare) }],
  ['every second group lost', { seconds, teams, getRate: () => bound * normalShare, lossSecond: disturbedFrom, lost: listOddGroups(layout) }],
  ['half of the calls from one team, 1.7 for 10 s', {
    seconds, teams: [...teams, ...teams.map(() => floodingTeam)], getRate: (second) => bound * (isDisturbed(second) ? burstShare : normalShare)
  }]
]

const countStreams = (counts: ReadonlyMap<string, number>): number => teams.reduce((sum, team) => sum + (counts.get(team) ?? 0), 0)

const formatResult = (result: ReplayResult): string[] => {
  const { arrived, served, inTime, refusals, timedOut, firstEventMs, arrivedByTeam, servedByTeam } = result
  return [
    formatShare(served, arrived), formatShare(countStreams(servedByTeam), countStreams(arrivedByTeam)), formatShare(inTime, arrived),
    formatShare(refusals, arrived), formatShare(timedOut, arrived), computeQuantile(firstEventMs, 0.5).toFixed(0), computeQuantile(firstEventMs, 0.95).toFixed(0)
  ]
}

/** Measures overload policies under each load. */
export const measureTurningAway = (): MeasuredTable => {
  const { layout, endpoints, bound } = createMixedFleet()
  const rows = createLoads(bound, layout).flatMap(([pattern, load]) => policies.map(([name, overload]) => {
    const run = new ReplayRun(endpoints, engine, load, { createPlacement: createRouterPlacement, overload }, seed)
    return [pattern, name, ...formatResult(run.run())]
  }))
  return {
    title: 'Overload of the mixed fleet: streams without free capacity',
    note: `The fleet and the entries of the table above, ${seconds} s at ${normalShare} of the bound of ${bound.toFixed(0)} streams a second; refused callers retry once. Others: the five teams other than the one that sends half of the calls. Seed ${seed}.`,
    columns: ['load', 'policy', 'served', 'others served', 'in time', 'refused', 'left', 'first event p50 ms', 'p95 ms'],
    rows
  }
}
