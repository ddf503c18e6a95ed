/**
 * Measures the cost of the control path per item: heap per team, endpoint and instance, and bytes and processor time per
 * message. Runs the production code against small in-process substitutes for its peers; `capacity.ts` extrapolates the
 * results to the target size.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { spawn } from 'node:child_process'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { setTimeout as wait } from 'node:timers/promises'
import { ConfigReplica, createNextSnapshot, Membership } from '@clementineloft/coordination'
import type { ConfigSnapshot, Instance } from '@clementineloft/coordination'
import { computeDigest, createIdentifier, HybridClock, Journal, ManualClock } from '@clementineloft/kernel'
import { createChannelCredentials, EndpointDirectory, GrpcPeerTransport, HttpInstanceList, journalCapacity, ApiKeyIndex, LinkListener, LinkPool, ProcessContext } from 'clementineloft/internals'
import type { CommonSettings, ConfigDocument } from 'clementineloft/internals'
import { DemoFleet } from '../lib/demo-fleet.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const bytesPerMegabyte = 1_000_000
const warmUpMs = 15_000
const idleSeconds = 20

/** Size of the target deployment. */
export const target = {
  entries: 390,
  workers: 650,
  accelerators: 5200,
  teams: 710,
  models: 4,
  dataCentres: 6,
  requestsPerSecond: 3200,
  tokensPerSecond: 860_000,
  changesPerDay: 590,
  instanceChangesPerDay: 123,
  stagesPerPipeline: 3
} as const

/** @returns a configuration with the given numbers of teams and endpoints, and the models of the target */
export const createDocument = (teams: number, endpoints: number): ConfigDocument => {
  const document: ConfigDocument = { teams: {}, models: {}, endpoints: {}, services: {}, links: [] }
  for (let index = 0; index < teams; index++) {
    document.teams[`team-${index}`] = { class: 'paying', weight: 1, keyDigests: [computeDigest(`key-${index}`)] }
  }
  for (let index = 0; index < target.models; index++) document.models[`model-${index}`] = { layers: 24 }
  for (let index = 0; index < endpoints; index++) {
    const stage = index % target.stagesPerPipeline
    document.endpoints[`endpoint-${index}`] = {
      state: 'serving',
      dataCentre: `data-centre-${index % target.dataCentres}`,
      model: `model-${Math.floor(index / target.stagesPerPipeline) % target.models}`,
      firstLayer: stage * 8,
      lastLayer: stage * 8 + 7,
      tokensPerSecond: [250, 750, 2000][index % 3] as number
    }
  }
  return document
}

const createInstances = (count: number): Instance[] => Array.from({ length: count }, (_, index) =>
  ({ name: `endpoint-${index}`, role: 'sidecar', address: `10.0.${index >> 8}.${index & 255}:7000`, dataCentre: `data-centre-${index % target.dataCentres}`, state: 'live' }))

/**
 * Builds the state that every process derives from a configuration and an instance list. Works on deep copies, so that the
 * heap of the copies is part of the measurement.
 */
const buildState = (document: ConfigDocument, instances: Instance[]): unknown[] => {
  const replica = new ConfigReplica<ConfigDocument>()
  const snapshot = JSON.parse(JSON.stringify({ revision: 1, document, changes: [] })) as ConfigSnapshot<ConfigDocument>
  replica.apply({ snapshot })
  const membership = new Membership()
  membership.apply({ version: '1', instances: JSON.parse(JSON.stringify(instances)) as Instance[] })
  const directory = new EndpointDirectory('entry-1', 8, membership, new ManualClock())
  directory.applyConfig(snapshot.document)
  const keys = new ApiKeyIndex()
  keys.applyConfig(snapshot.document)
  return [replica, membership, directory, keys]
}

const measureHeap = (build: () => unknown): number => {
  build()
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const held = build()
  collectGarbage()
  const used = process.memoryUsage().heapUsed - before
  return held === undefined ? 0 : used
}

/** Heap of the control state, in bytes per item, and the cost of a configuration change. */
export interface StateSlopes {
  perTeam: number
  perEndpoint: number
  perInstance: number
  /** Heap of a full journal, in bytes. */
  journalBytes: number
  /** Size of the configuration as JSON at the target size, in bytes. */
  documentBytes: number
  /** Size of one change as a JSON delta, in bytes. */
  deltaBytes: number
  /** Time to rebuild the derived state after a change at the target size, in milliseconds. */
  applyMs: number
}

const createFullJournal = (): Journal => {
  const journal = new Journal('entry-1', new HybridClock(new ManualClock()), journalCapacity)
  for (let index = 0; index < journalCapacity; index++) {
    journal.record({ name: 'stage-open', request: createIdentifier(), team: 'team-1', endpoint: 'endpoint-1', detail: `layers 0-7, attempt ${index}` })
  }
  return journal
}

/** Measures the heap per item by building the same state at two sizes and dividing the difference. */
export const measureState = (): StateSlopes => {
  const noInstances: Instance[] = []
  const emptyHeap = measureHeap(() => buildState(createDocument(0, 0), noInstances))
  const perTeam = (measureHeap(() => buildState(createDocument(4000, 0), noInstances)) - emptyHeap) / 4000
  const instances = createInstances(1300)
  const withInstances = measureHeap(() => buildState(createDocument(0, 0), instances))
  const perEndpoint = (measureHeap(() => buildState(createDocument(0, 1300), instances)) - withInstances) / 1300
  const document = createDocument(target.teams, target.workers)
  const first: ConfigSnapshot<ConfigDocument> = { revision: 1, document, changes: [] }
  const changed = structuredClone(document)
  ;(changed.teams['team-5'] as { weight: number }).weight = 7
  const next = createNextSnapshot(first, changed, 'change')
  const repetitions = 20
  const startedMs = performance.now()
  for (let repetition = 0; repetition < repetitions; repetition++) buildState(document, instances.slice(0, target.workers))
  return {
    perTeam,
    perEndpoint,
    perInstance: (withInstances - emptyHeap) / 1300,
    journalBytes: measureHeap(createFullJournal),
    documentBytes: JSON.stringify(document).length,
    deltaBytes: JSON.stringify(next.changes).length,
    applyMs: (performance.now() - startedMs) / repetitions
  }
}

/** A TCP proxy that counts the bytes between its clients and one process, in both directions. */
class CountingProxy {
  bytes = 0
  connections = 0
  private server: Server | undefined
  private readonly sockets = new Set<Socket>()

  async start (targetPort: number): Promise<number> {
    const server = createServer((incoming) => {
      this.connections++
      const outgoing = connect(targetPort, '127.0.0.1')
      for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
        this.sockets.add(from)
        from.on('data', (bytes) => {
          this.bytes += bytes.byteLength
          to.write(bytes)
        })
        from.on('close', () => { to.destroy() })
        from.on('error', () => {})
      }
    })
    this.server = server
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return (server.address() as { port: number }).port
  }

  stop (): void {
    this.server?.close()
    for (const socket of this.sockets) socket.destroy()
  }
}

class NoopListener extends LinkListener {
  override handleFrame (): void {}

  override handleHeader (): void {}

  override handleLost (): void {}
}

/** Costs of messages between processes and to the platform, and resident memory of processes. */
export interface ProcessSlopes {
  bareResidentMb: number
  entryResidentMb: number
  sidecarResidentMb: number
  exchangeBytes: number
  exchangeServerMicroseconds: number
  exchangeClientMicroseconds: number
  linkClientBytes: number
  linkServerBytes: number
  idleMicrosecondsPerSecond: number
  listPollBytes: number
}

const readGauge = async (adminUrl: string, name: string): Promise<number> => {
  const text = await (await fetch(`${adminUrl}/metrics`)).text()
  return Number(new RegExp(`^${name} (\\d+)`, 'm').exec(text)?.[1])
}

const measureBareResident = async (): Promise<number> => await new Promise((resolve) => {
  const child = spawn(process.execPath, ['-e', 'setTimeout(() => { console.log(process.memoryUsage.rss()) }, 500)'])
  child.stdout.on('data', (bytes: Buffer) => { resolve(Number(bytes.toString())) })
})

/** Measures on a small fleet of separate processes, after a warm-up. */
export const measureProcesses = async (): Promise<ProcessSlopes> => {
  const fleet = new DemoFleet({ stages: [[0, 3]], workers: 0, listIntervalMs: 5000 })
  await fleet.start()
  const [entry, sidecar] = [fleet.entries[0] as DemoFleet['entries'][number], fleet.sidecars[0] as DemoFleet['sidecars'][number]]
  const proxy = new CountingProxy()
  const settings = {
    instance: { name: 'driver', data_centre: 'd', address: '127.0.0.1:0', admin_address: '127.0.0.1:0' },
    logs: { level: 'error', format: 'json' }
  } as CommonSettings
  const context = new ProcessContext(settings)
  try {
    await wait(warmUpMs)
    const residentBytes = [await measureBareResident(), await readGauge(entry.adminUrl, 'process_resident_bytes'), await readGauge(sidecar.adminUrl, 'process_resident_bytes')]
    const idleBefore = await readGauge(entry.adminUrl, 'process_cpu_microseconds')
    await wait(idleSeconds * 1000)
    const idleMicroseconds = (await readGauge(entry.adminUrl, 'process_cpu_microseconds') - idleBefore) / idleSeconds
    const port = await proxy.start(Number(entry.address.split(':')[1]))
    const transport = new GrpcPeerTransport(context, createChannelCredentials())
    const runExchanges = async (count: number): Promise<void> => {
      for (let index = 0; index < count; index++) await transport.callPeer(`127.0.0.1:${port}`, '')
    }
    context.replica.apply({ snapshot: { revision: 1, document: createDocument(0, 0), changes: [] } })
    await runExchanges(100)
    proxy.bytes = 0
    const exchanges = 500
    const serverCpuBefore = await readGauge(entry.adminUrl, 'process_cpu_microseconds')
    const clientCpuBefore = process.cpuUsage()
    await runExchanges(exchanges)
    const clientCpu = process.cpuUsage(clientCpuBefore)
    const serverCpu = await readGauge(entry.adminUrl, 'process_cpu_microseconds') - serverCpuBefore
    const links = 200
    const pool = new LinkPool(context, createChannelCredentials(), new NoopListener())
    collectGarbage()
    const clientMemoryBefore = process.memoryUsage()
    const serverHeapBefore = await readGauge(sidecar.adminUrl, 'process_heap_bytes')
    for (let index = 0; index < links; index++) pool.send(`link-${index}`, sidecar.address, { probe: { request: 'none', attempt: 1 } })
    await wait(2000)
    collectGarbage()
    const clientMemoryAfter = process.memoryUsage()
    const serverHeapAfter = await readGauge(sidecar.adminUrl, 'process_heap_bytes')
    pool.close()
    const listProxy = new CountingProxy()
    const listPort = await listProxy.start(Number(new URL(fleet.platformUrl).port))
    const list = new HttpInstanceList(`http://127.0.0.1:${listPort}`, 2000)
    const { version } = await list.fetch('') as { version: string }
    listProxy.bytes = 0
    const polls = 50
    for (let index = 0; index < polls; index++) await list.fetch(version)
    listProxy.stop()
    return {
      bareResidentMb: (residentBytes[0] as number) / bytesPerMegabyte,
      entryResidentMb: (residentBytes[1] as number) / bytesPerMegabyte,
      sidecarResidentMb: (residentBytes[2] as number) / bytesPerMegabyte,
      exchangeBytes: proxy.bytes / exchanges,
      exchangeServerMicroseconds: serverCpu / exchanges,
      exchangeClientMicroseconds: (clientCpu.user + clientCpu.system) / exchanges,
      linkClientBytes: (clientMemoryAfter.heapUsed + clientMemoryAfter.external - clientMemoryBefore.heapUsed - clientMemoryBefore.external) / links,
      linkServerBytes: Math.max(0, serverHeapAfter - serverHeapBefore) / links,
      idleMicrosecondsPerSecond: idleMicroseconds,
      listPollBytes: listProxy.bytes / polls
    }
  } finally {
    proxy.stop()
    await fleet.stop()
  }
}
