/**
 * Compares layouts that are planned for memory with layouts that are planned for time, on fleets whose types are spread
 * unevenly: under even, swinging and shifted demand, under other sizes of requests, under overload and after losses.
 */
import { countCopies, coverAbsent, describeLayout, LayoutGoal, planLayout, regroupLayout, repairLayout } from '@clementineloft/routing'
import type { LayerAssignment, LayoutMember, LayoutTerms, RequestSize } from '@clementineloft/routing'
import { countLoads } from '../replay/count-loads.js'
import { computeFlowBound } from '../replay/flow-bound.js'
import type { ReplayLoad } from '../replay/replay-load.js'
import { listHolders, runDemand } from '../replay/run-demand.js'
import { evenFleet, swingingFleet } from '../replay/uneven-fleets.js'
import type { UnevenFleet } from '../replay/uneven-fleets.js'
import { computeQuantile, formatShare } from './table.js'
import type { MeasuredTable } from './table.js'

const seconds = 15
/** Streams a second: the mean of the demand, and demand above what the fleet serves in time. */
const rates = new Map([[swingingFleet, { mean: 100, high: 160 }], [evenFleet, { mean: 60, high: 90 }]])
const longPrompts: RequestSize = { promptTokens: 2400, answerTokens: 120 }
const longAnswers: RequestSize = { promptTokens: 400, answerTokens: 500 }
/** Demand of the shifted load by data centre: c, which has few fast endpoints, has eight times that of the others. */
const shiftedDemand: Record<string, number> = { a: 0.3, b: 0.3, c: 2.4 }

type Load = Omit<ReplayLoad, 'teams' | 'entries'>
interface Row { label: string, members: readonly LayoutMember[], layout: readonly LayerAssignment[], loads: number, load: Load }

const listLoads = (fleet: UnevenFleet): Record<string, Load> => {
  const { mean, high } = rates.get(fleet) as { mean: number, high: number }
  const getTotal = (second: number): number => ['a', 'b', 'c'].reduce((sum, dataCentre) => sum + fleet.getDemand(dataCentre, second), 0) / 3
  return {
    even: { seconds, getRate: () => mean },
    ...(fleet === swingingFleet
      ? {
          swinging: { seconds, getRate: (second) => mean * getTotal(second), getDemand: fleet.getDemand },
          'swinging, same share of each data centre': { seconds, getRate: (second) => mean * getTotal(second) }
        }
      : {}),
    'shifted to c': { seconds, getRate: () => mean, getDemand: (dataCentre) => shiftedDemand[dataCentre] as number },
    'long prompts': { seconds, getRate: () => mean / 2, getMeanSize: () => longPrompts },
    'long answers': { seconds, getRate: () => mean * 0.6, getMeanSize: () => longAnswers },
    overload: { seconds, getRate: () => high }
  }
}

const listLossRows = (fleet: UnevenFleet, layout: readonly LayerAssignment[], terms: LayoutTerms): Row[] => {
  const { members } = fleet
  const load = { seconds, getRate: () => (rates.get(fleet)?.mean ?? 0) * 0.75 }
  const index = new Map(members.map((member) => [member.address, member]))
  const pair = members.filter(({ dataCentre }) => dataCentre === 'a').slice(0, 2)
  return [['pair lost', pair], ['b lost', members.filter(({ dataCentre }) => dataCentre === 'b')]].flatMap(([label, lost]) => {
    const live = members.filter((member) => !(lost as LayoutMember[]).includes(member))
    const repaired = coverAbsent(repairLayout(layout, live, index, terms), new Set(), index, terms)
    const regrouped = regroupLayout(repaired, live, terms)
    const createRow = (step: string, next: readonly LayerAssignment[]): Row =>
      ({ label: `${label as string}, ${step}`, members: live, layout: next, loads: countLoads(layout, next), load })
    return [createRow('repaired', repaired), ...(regrouped === undefined ? [] : [createRow('regrouped', regrouped)])]
  })
}

const measureRow = ({ label, members, layout, loads, load }: Row, fleet: UnevenFleet, terms: LayoutTerms): Array<string | number> => {
  const { arrived, served, inTime, refusals, firstEventMs, linkUtilization } = runDemand(members, layout, terms, load)
  const size = load.getMeanSize?.(0)
  const asked = size === undefined ? terms : { ...terms, usualPromptTokens: size.promptTokens, usualAnswerTokens: size.answerTokens }
  return [
    fleet.name, label, terms.goal as string, describeLayout(layout, terms.layers).groups, Math.min(...countCopies(layout, terms.layers)), loads,
    (arrived / load.seconds).toFixed(0), computeFlowBound(listHolders(members, layout), asked).toFixed(0), formatShare(served, arrived), formatShare(inTime, arrived),
    formatShare(refusals, arrived), computeQuantile(firstEventMs, 0.5).toFixed(0), computeQuantile(firstEventMs, 0.95).toFixed(0), formatShare(linkUtilization, 1)
  ]
}

const measureFleet = (fleet: UnevenFleet): Array<Array<string | number>> => {
  const rowsByGoal = Object.values(LayoutGoal).map((goal) => {
    const terms = { ...fleet.engine, goal }
    const layout = planLayout(fleet.members, terms)
    const rows = Object.entries(listLoads(fleet)).map(([label, load]): Row => ({ label, members: fleet.members, layout, loads: 0, load }))
    return [...rows, ...listLossRows(fleet, layout, terms)].map((row) => measureRow(row, fleet, terms))
  })
  return rowsByGoal.flat().sort((a, b) => String(a[1]).localeCompare(String(b[1])))
}

/** Measures the streams served by goal of the layout. */
export const measureLayoutGoal = (): MeasuredTable => ({
  title: 'Layouts planned for memory and for time',
  note: `Two fleets of three types in three data centres, 9 entries, ${seconds} s. Bound: maximum flow in streams a second, without hops, queues and the cost of batching. Loads: endpoints that load layers after the loss. Link: mean utilization of the most loaded link between data centres.`,
  columns: ['fleet', 'load', 'goal', 'groups', 'fewest copies', 'loads', 'streams a second', 'bound', 'served', 'in time', 'refused', 'first event p50 ms', 'p95 ms', 'link'],
  rows: [...measureFleet(swingingFleet), ...measureFleet(evenFleet)]
})
