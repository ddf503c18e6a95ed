/**
 * Compares the throughput of pipeline selection policies with the maximum flow of the model graph.
 */
import { computeHash32, SeededRandom } from '@clementineloft/kernel'
import { ModelGraph } from '@clementineloft/routing'
import type { LoadTable, StageEndpoint } from '@clementineloft/routing'
import { FluidPipelines } from './fluid-pipelines.js'
import { BetterOfTwoPolicy, FlowPolicy, LeastLoadedPolicy, LocalBetterOfTwoPolicy, RandomPolicy, RoundRobinPolicy } from './pick-policies.js'
import type { PickPolicy } from './pick-policies.js'
import type { MeasuredTable } from './table.js'

const seed = 11
const layers = 24
const entries = 40
const reportLag = 2
const seconds = 45
const meanTokens = 120
const fastLink = 20_000
const slowLink = 200
const speeds = [250, 750, 2000]
const splits: ReadonlyArray<ReadonlyArray<readonly [number, number]>> = [
  [[0, 7], [8, 15], [16, 23]],
  [[0, 11], [12, 23]]
]
const dataCentres = ['a', 'b', 'c']

const policies: Record<string, (random: SeededRandom, loads: LoadTable) => PickPolicy> = {
  random: (random) => new RandomPolicy(random),
  'round robin': (random) => new RoundRobinPolicy(random),
  'least loaded': (_, loads) => new LeastLoadedPolicy(loads),
  'better of two': (random, loads) => new BetterOfTwoPolicy(random, loads),
  'better of two, one data centre': (random, loads) => new LocalBetterOfTwoPolicy(random, loads),
  'flow, better of two (ours)': (random, loads) => new FlowPolicy(random, loads)
}

const getLinkCapacity = (from: string, to: string): number =>
  [from, to].includes('c') ? slowLink : fastLink

/** Creates endpoints of three speeds in three data centres: two splits of the layers, five copies of each range. */
const createEndpoints = (): StageEndpoint[] => {
  const random = new SeededRandom(seed)
  const endpoints: StageEndpoint[] = []
  for (const dataCentre of dataCentres) {
    for (const split of splits) {
      for (const [firstLayer, lastLayer] of split) {
        for (let copy = 0; copy < 5; copy++) {
          const name = `${dataCentre}${firstLayer}-${lastLayer}.${copy}`
          endpoints.push({ name, address: '', dataCentre, model: 'm', firstLayer, lastLayer, tokensPerSecond: random.pickItem(speeds) })
        }
      }
    }
  }
  return endpoints
}

/** Ten percent of the endpoints are down at any time; the set changes every five seconds. */
const isUpUnderChurn = (name: string, now: number): boolean =>
  (computeHash32(name) + Math.floor(now / 5)) % 10 !== 0

/** Measures every policy at several loads, and above saturation while endpoints go down and come back. */
export const measurePicking = (): MeasuredTable => {
  const endpoints = createEndpoints()
  const graph = new ModelGraph(layers, endpoints, getLinkCapacity)
  const bound = graph.maxTokensPerSecond
  const churnBounds = Array.from({ length: 10 }, (_, period) =>
    new ModelGraph(layers, endpoints.filter((endpoint) => isUpUnderChurn(endpoint.name, period * 5)), getLinkCapacity).maxTokensPerSecond)
  const churnBound = churnBounds.reduce((sum, value) => sum + value, 0) / churnBounds.length
  const run = (createPolicy: (random: SeededRandom, loads: LoadTable) => PickPolicy, offered: number, hasChurn: boolean): string => {
    const result = new FluidPipelines({
      graph,
      linkCapacity: getLinkCapacity,
      entries,
      createPolicy,
      offeredTokensPerSecond: offered,
      meanTokens,
      reportLagSeconds: reportLag,
      seconds,
      seed,
      ...(hasChurn ? { isUp: isUpUnderChurn } : {})
    }).run()
    const share = result.throughput / (hasChurn ? churnBound : bound)
    return `${(100 * share).toFixed(1)}%, ${result.intervalP95Ms.toFixed(0)} ms, ${(100 * result.refusedShare).toFixed(0)}% refused`
  }
  return {
    title: 'Picking: throughput against the maximum flow',
    note: `${endpoints.length} endpoints of speeds 1:3:8, links ${fastLink} and ${slowLink} tokens/s, ${entries} entries, load reports ${reportLag} s late, seed ${seed}. Bound ${bound.toFixed(0)} tokens/s; ${churnBound.toFixed(0)} with a tenth of the endpoints down. Each cell: share of the bound, p95 between tokens, share refused.`,
    columns: ['policy', 'offered 0.6', 'offered 1.0', 'offered 1.3', 'offered 1.3, endpoints come and go'],
    rows: Object.entries(policies).map(([name, createPolicy]) => [
      name,
      run(createPolicy, 0.6 * bound, false),
      run(createPolicy, bound, false),
      run(createPolicy, 1.3 * bound, false),
      run(createPolicy, 1.3 * churnBound, true)
    ])
  }
}
