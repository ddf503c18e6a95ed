/**
 * Computes the tables of docs/CAPACITY.md: measures the cost per item and extrapolates it to the target size.
 */
import { measureProcesses, measureState, target } from './measure/capacity-slopes.js'
import type { ProcessSlopes, StateSlopes } from './measure/capacity-slopes.js'
import { measurePathCost } from './measure/measure-path.js'
import type { PathCost } from './measure/measure-path.js'
import { formatTable } from './measure/table.js'
import type { MeasuredTable } from './measure/table.js'

const secondsPerDay = 86_400
const bytesPerMegabyte = 1_000_000
const packetBytes = 60
const packetsPerExchange = 5
const packetsPerPoll = 4
const listEntryBytes = 110
const exchangesPerSecond = 0.5
const listPollsPerSecond = 0.2
const watchSeconds = 50
const watchersPerDataCentre = 2
const endpointsPerStage = 8
const claimWritesPerSecond = 200

const budget = { core: 1.1, megabytes: 32, bytesPerSecond: 3000, storeReads: 2000 } as const

const instances = target.entries + target.workers
const layerRanges = target.models * target.stagesPerPipeline
const linksPerEntry = layerRanges * endpointsPerStage
const entriesPerSidecar = linksPerEntry * target.entries / target.workers
const tokensPerEntry = target.tokensPerSecond / target.entries
const requestsPerEntry = target.requestsPerSecond / target.entries
const rowsPerSidecar = target.tokensPerSecond * target.stagesPerPipeline / target.workers

const createSlopeTable = (state: StateSlopes, processes: ProcessSlopes, path: PathCost): MeasuredTable => ({
  title: 'Slopes',
  note: 'Measured by this command on this machine.',
  columns: ['slope', 'value', 'mechanism', 'module'],
  rows: [
    ['heap for each team', `${state.perTeam.toFixed(0)} B`, 'configuration replica, key index', 'coordination/config-replica, clementineloft/api-key-index'],
    ['heap for each endpoint', `${state.perEndpoint.toFixed(0)} B`, 'configuration, flow graph, subset', 'routing/model-graph, clementineloft/endpoint-directory'],
    ['heap for each instance', `${state.perInstance.toFixed(0)} B`, 'instance list', 'coordination/membership'],
    ['journal when full', `${(state.journalBytes / bytesPerMegabyte).toFixed(1)} MB`, 'ring of events', 'kernel/journal'],
    ['memory for each link, calling side', `${processes.linkClientBytes.toFixed(0)} B`, 'stream of frames', 'clementineloft/stage-link'],
    ['memory for each link, serving side', `${processes.linkServerBytes.toFixed(0)} B`, 'stream of frames', 'clementineloft/stage-sidecar'],
    ['one exchange of revisions', `${processes.exchangeBytes.toFixed(0)} B, ${processes.exchangeClientMicroseconds.toFixed(0)} µs calling, ${processes.exchangeServerMicroseconds.toFixed(0)} µs serving`, 'kept neighbours', 'coordination/config-gossip, clementineloft/peer-service'],
    ['one poll of the instance list without change', `${processes.listPollBytes.toFixed(0)} B`, 'conditional read', 'clementineloft/http-instance-list'],
    ['one change of configuration', `${state.deltaBytes} B as a delta, ${state.documentBytes} B whole, ${state.applyMs.toFixed(1)} ms to apply`, 'deltas between processes', 'coordination/config-replica'],
    ['entry, each token', `${path.entryMicrosecondsPerToken.toFixed(0)} µs`, 'data path', 'routing/pipeline-run, clementineloft/completion-handler'],
    ['entry, each request', `${path.entryMicrosecondsPerRequest.toFixed(0)} µs`, 'data path', 'routing/pipeline-picker, routing/pipeline-run'],
    ['sidecar, each token and stage', `${path.sidecarMicrosecondsPerRow.toFixed(0)} µs`, 'data path', 'routing/stage-host, routing/engine-executor'],
    ['bare Node process', `${processes.bareResidentMb.toFixed(0)} MB`, '-', '-'],
    ['idle entry', `${processes.entryResidentMb.toFixed(0)} MB, ${processes.idleMicrosecondsPerSecond.toFixed(0)} µs a second`, '-', '-'],
    ['idle sidecar', `${processes.sidecarResidentMb.toFixed(0)} MB`, '-', '-']
  ]
})

const computeStateMegabytes = (state: StateSlopes): number =>
  (target.teams * state.perTeam + target.workers * state.perEndpoint + instances * state.perInstance +
    state.documentBytes + state.journalBytes) / bytesPerMegabyte

const computeControlBytes = (state: StateSlopes, processes: ProcessSlopes): number => {
  const exchanges = 2 * exchangesPerSecond * (processes.exchangeBytes + packetsPerExchange * packetBytes)
  const polls = listPollsPerSecond * (processes.listPollBytes + packetsPerPoll * packetBytes)
  const lists = target.instanceChangesPerDay * instances * listEntryBytes / secondsPerDay
  const changes = target.changesPerDay * 2 * state.deltaBytes / secondsPerDay
  return exchanges + polls + lists + changes
}

const computeControlCore = (state: StateSlopes, processes: ProcessSlopes): number => {
  const exchanges = exchangesPerSecond * (processes.exchangeClientMicroseconds + processes.exchangeServerMicroseconds)
  const updates = (target.changesPerDay + target.instanceChangesPerDay) * state.applyMs * 1000 / secondsPerDay
  return (processes.idleMicrosecondsPerSecond + exchanges + updates) / 10_000
}

const compareWithLimit = (value: number, limit: number): string => value <= limit ? 'within' : `over by ${(value / limit).toFixed(1)}×`

const createRoleTable = (state: StateSlopes, processes: ProcessSlopes): MeasuredTable => {
  const shared = computeStateMegabytes(state)
  const bytes = computeControlBytes(state, processes)
  const core = computeControlCore(state, processes)
  const entryState = shared + linksPerEntry * processes.linkClientBytes / bytesPerMegabyte
  const hops = target.workers / layerRanges
  const sidecarState = shared + (entriesPerSidecar * processes.linkServerBytes + hops * processes.linkClientBytes) / bytesPerMegabyte
  return {
    title: 'Control in one process at the size of the target',
    note: `${target.entries} entries, ${target.workers} sidecars, ${target.teams} teams, ${target.models} models of ${target.stagesPerPipeline} stages, ${linksPerEntry} links an entry, ${entriesPerSidecar.toFixed(0)} entries at a sidecar. Each packet counts as ${packetBytes} B in addition to its payload.`,
    columns: ['role', 'figure', 'value', 'budget', 'result'],
    rows: [
      ['entry', 'control\'s own state', `${entryState.toFixed(1)} MB`, `${budget.megabytes} MB`, compareWithLimit(entryState, budget.megabytes)],
      ['sidecar', 'control\'s own state', `${sidecarState.toFixed(1)} MB`, `${budget.megabytes} MB`, compareWithLimit(sidecarState, budget.megabytes)],
      ['entry', 'resident, Node and code included', `${processes.entryResidentMb.toFixed(0)} MB`, `${budget.megabytes} MB`, compareWithLimit(processes.entryResidentMb, budget.megabytes)],
      ['sidecar', 'resident, Node and code included', `${processes.sidecarResidentMb.toFixed(0)} MB`, `${budget.megabytes} MB`, compareWithLimit(processes.sidecarResidentMb, budget.megabytes)],
      ['both', 'traffic for control', `${bytes.toFixed(0)} B/s`, `${budget.bytesPerSecond} B/s`, compareWithLimit(bytes, budget.bytesPerSecond)],
      ['both', 'processor time for control', `${core.toFixed(2)}% of a core`, `${budget.core}%`, compareWithLimit(core, budget.core)]
    ]
  }
}

const createStoreTable = (): MeasuredTable => {
  const watches = target.dataCentres * watchersPerDataCentre / watchSeconds
  const polls = instances * listPollsPerSecond
  const writes = target.changesPerDay * 2 / secondsPerDay
  return {
    title: 'Calls to the platform at the size of the target',
    note: `All ${instances} processes together.`,
    columns: ['call', 'rate', 'limit', 'mechanism'],
    rows: [
      ['open watches on the configuration', `${target.dataCentres * watchersPerDataCentre} at a time, ${watches.toFixed(2)}/s`, `${budget.storeReads} reads/s`, 'two watchers in each data centre, by rendezvous hashing'],
      ['reads of the instance list', `${polls.toFixed(0)}/s`, `${budget.storeReads} reads/s`, 'conditional reads every 5 s'],
      ['writes of plans and configuration', `${writes.toFixed(3)}/s`, 'several hundred/s', 'one conditional update for each change, one for each plan'],
      ['writes of claims', `at most ${claimWritesPerSecond}/s for each service`, 'several hundred/s', 'claims written ahead in batches, paced by claimWritesPerSecond'],
      ['heartbeats, lease renewals', '0', '-', 'none: no process holds a time-based lease']
    ]
  }
}

const createPathTable = (path: PathCost): MeasuredTable => {
  const entryCore = (tokensPerEntry * path.entryMicrosecondsPerToken + requestsPerEntry * path.entryMicrosecondsPerRequest) / 10_000
  const sidecarCore = rowsPerSidecar * path.sidecarMicrosecondsPerRow / 10_000
  return {
    title: 'Data path at the peak',
    note: `${target.tokensPerSecond} tokens and ${target.requestsPerSecond} requests a second, spread evenly.`,
    columns: ['role', 'load of one process', 'processor time', 'cores, all processes'],
    rows: [
      ['entry', `${tokensPerEntry.toFixed(0)} tokens/s, ${requestsPerEntry.toFixed(1)} requests/s`, `${entryCore.toFixed(1)}% of a core`, (entryCore * target.entries / 100).toFixed(0)],
      ['sidecar', `${rowsPerSidecar.toFixed(0)} tokens and stages/s`, `${sidecarCore.toFixed(1)}% of a core`, (sidecarCore * target.workers / 100).toFixed(0)]
    ]
  }
}

const state = measureState()
const processes = await measureProcesses()
const path = await measurePathCost()
for (const table of [createSlopeTable(state, processes, path), createRoleTable(state, processes), createStoreTable(), createPathTable(path)]) {
  process.stdout.write(`${formatTable(table)}\n`)
}
process.exit(0)
