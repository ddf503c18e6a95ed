/**
 * Measures preemptions with and without memory reserved for answers.
 */
import { engine } from '@clementineloft/routing/test-fleet'
import type { AcceleratorType, EngineConfig } from '@clementineloft/routing'
import { MemoryReplay } from '../replay/memory-replay.js'
import type { MemoryResult } from '../replay/memory-replay.js'
import type { MeasuredTable } from './table.js'

const seeds = [1, 2, 3, 4]
const seconds = 40
const endpoints = 4
/** Memory of an endpoint, in megabytes: all layers and 12,164 tokens. */
const memoryMb = 156_000

/** An engine whose endpoints hold all layers and little memory for requests. */
export const memoryEngine: EngineConfig = { ...engine, types: [{ ...engine.types[0] as AcceleratorType, memoryMb }] }

const isBurst = (second: number): boolean => second > 8 && second < 12

/** Rates in streams a second and lengths of answers in tokens. */
const loads = {
  'constant, 30 a second, answers of 200': { getRate: () => 30, getAnswerTokens: () => 200 },
  'constant, 7 a second, answers of 1000': { getRate: () => 7, getAnswerTokens: () => 1000 },
  'burst, 5 to 25 a second, answers of 200 to 1000': {
    getRate: (second: number) => isBurst(second) ? 25 : 5, getAnswerTokens: (second: number) => isBurst(second) ? 1000 : 200
  },
  'burst, 12 to 60 a second, answers of 200': { getRate: (second: number) => isBurst(second) ? 60 : 12, getAnswerTokens: () => 200 }
}

/** Measures loads beyond the memory of the endpoints. */
export const measureMemory = (): MeasuredTable => ({
  title: 'Memory: streams preempted by endpoints that run out of it',
  note: `${endpoints} endpoints of 12,164 tokens, reports every 300 ms, ${seconds} s, sums over the seeds ${seeds.join(', ')}. Callers state half of the mean answer; lengths are exponential, at most four times the mean. Refused: no room within 1.5 s. Left: no new event for 2 s. A preempted stream starts over.`,
  columns: ['load', 'entries', 'reserved', 'arrived', 'served', 'refused', 'left', 'preempted', 'tokens lost'],
  rows: Object.entries(loads).flatMap(([name, load]) => [8, 50].flatMap((entries) => [false, true].map((reserves) => {
    const results = seeds.map((seed) => new MemoryReplay({ ...load, endpoints, entries, seconds }, memoryEngine, reserves, seed).run())
    const count = (key: keyof MemoryResult): number => results.reduce((total, result) => total + result[key], 0)
    return [name, entries, reserves ? 'yes' : 'no', count('arrived'), count('served'), count('refused'), count('left'), count('preempted'), count('lostTokens')]
  })))
})
