/**
 * Measures the time to compute the layout of a fleet of the target size: planned from scratch, repaired, and regrouped.
 */
import { SeededRandom } from '@clementineloft/kernel'
import { coverAbsent, planLayout, regroupLayout, repairLayout } from '@clementineloft/routing'
import type { LayoutMember } from '@clementineloft/routing'
import { createMembers, engine } from '@clementineloft/routing/test-fleet'
import { countLoads } from '../replay/count-loads.js'
import { target } from './capacity-slopes.js'
import type { MeasuredTable } from './table.js'

const seed = 17
const lostCounts = [10, 60, 200]
/** Number of data centres of the fleet. */
const dataCentres = 21

/** @returns a fleet of the target size with the accelerator types of the mixed fleet */
const createLargeFleet = (): LayoutMember[] => {
  const mixed = createMembers()
  return Array.from({ length: target.workers }, (_, index) => {
    const { type } = mixed[index % mixed.length] as LayoutMember
    return { address: `endpoint-${index}`, dataCentre: `centre-${Math.floor(index / mixed.length) % dataCentres}`, type }
  })
}

const measureMs = <Result>(decide: () => Result): { result: Result, ms: string } => {
  const startMs = performance.now()
  const result = decide()
  return { result, ms: (performance.now() - startMs).toFixed(0) }
}

/** Measures how long the computation of a layout blocks the event loop of its process. */
export const measureLayoutTime = (): MeasuredTable => {
  const members = createLargeFleet()
  const index = new Map(members.map((member) => [member.address, member]))
  const planned = measureMs(() => planLayout(members, engine))
  const random = new SeededRandom(seed)
  const rows = lostCounts.map((count) => {
    const lost = new Set<LayoutMember>()
    while (lost.size < count) lost.add(random.pickItem(members))
    const live = members.filter((member) => !lost.has(member))
    const repaired = measureMs(() => coverAbsent(repairLayout(planned.result, live, index, engine), new Set(), index, engine))
    const regrouped = measureMs(() => regroupLayout(repaired.result, live, engine))
    return [count, repaired.ms, regrouped.ms, regrouped.result === undefined ? 'kept' : countLoads(repaired.result, regrouped.result)]
  })
  return {
    title: 'Layout: time of a decision at the target size',
    note: `${target.workers} endpoints in ${dataCentres} data centres; planned from scratch in ${planned.ms} ms. Seed ${seed}.`,
    columns: ['endpoints lost permanently', 'repaired, ms', 'regrouped, ms', 'endpoints that load'],
    rows
  }
}
