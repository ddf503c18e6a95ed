/**
 * Builds two fleets whose accelerator types are spread unevenly over three data centres, with demand by data centre: one
 * where demand swings at moments that differ between data centres, and one where the sizes of requests change.
 */
import type { EngineConfig, LayoutMember } from '@clementineloft/routing'
import { engine as baseEngine } from '@clementineloft/routing/test-fleet'

/** Number of endpoints of one type in each data centre. */
interface TypeCounts {
  name: string
  memoryMb: number
  stepFactor: number
  readFactor: number
  byDataCentre: Record<string, number>
}

/** A fleet whose types are spread unevenly. */
export interface UnevenFleet {
  name: string
  engine: EngineConfig
  members: LayoutMember[]
  /** Relative demand of a data centre at a time in seconds; 1 is its mean. */
  getDemand: (dataCentre: string, second: number) => number
}

const swing = 0.55
const periodSeconds = 15
const dataCentres = ['a', 'b', 'c']
/** Delay of the wave from one data centre to the next, in seconds. */
const waveDelaySeconds = 1.2
const concurrentLoads = 9

const swingingTypes: TypeCounts[] = [
  { name: 'large', memoryMb: 72_000, stepFactor: 2.4, readFactor: 3.2, byDataCentre: { a: 3, b: 2, c: 0 } },
  { name: 'quick', memoryMb: 14_400, stepFactor: 5.3, readFactor: 2.7, byDataCentre: { a: 12, b: 13, c: 4 } },
  { name: 'slow', memoryMb: 21_600, stepFactor: 16, readFactor: 8.2, byDataCentre: { a: 2, b: 6, c: 14 } }
]

const evenTypes: TypeCounts[] = [
  { name: 'large', memoryMb: 72_000, stepFactor: 1.4, readFactor: 1.6, byDataCentre: { a: 1, b: 0, c: 0 } },
  { name: 'medium', memoryMb: 36_000, stepFactor: 3.1, readFactor: 2.7, byDataCentre: { a: 3, b: 2, c: 0 } },
  { name: 'slow', memoryMb: 21_600, stepFactor: 16, readFactor: 8.2, byDataCentre: { a: 8, b: 8, c: 10 } },
  { name: 'small', memoryMb: 14_400, stepFactor: 15, readFactor: 8.2, byDataCentre: { a: 4, b: 9, c: 13 } }
]

const createMembers = (types: readonly TypeCounts[]): LayoutMember[] => types.flatMap(({ byDataCentre, ...type }) =>
  dataCentres.flatMap((dataCentre) => Array.from({ length: byDataCentre[dataCentre] ?? 0 }, (_, index) =>
    ({ address: `${dataCentre}-${type.name}-${index}`, dataCentre, type }))))

const createFleet = (name: string, types: readonly TypeCounts[], getDemand: UnevenFleet['getDemand']): UnevenFleet => ({
  name,
  engine: { ...baseEngine, concurrentLoads, types: types.map(({ byDataCentre, ...type }) => type) },
  members: createMembers(types),
  getDemand
})

/** 56 endpoints; demand swings by 55% around its mean within 15 s, later in each further data centre. */
export const swingingFleet = createFleet('swinging', swingingTypes, (dataCentre, second) =>
  1 + swing * Math.sin(2 * Math.PI * (second - waveDelaySeconds * dataCentres.indexOf(dataCentre)) / periodSeconds))

/** 58 endpoints; demand is even. */
export const evenFleet = createFleet('even', evenTypes, () => 1)
