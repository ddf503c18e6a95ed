/**
 * Measures the latency and processor time that entry and sidecars add to each token, and compares two paths for
 * activations: from sidecar to sidecar, and back through the process that drives the stages.
 */
import { Server, ServerCredentials } from '@grpc/grpc-js'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { createIdentifier } from '@clementineloft/kernel'
import type { Frame, StatusFrame, TokensFrame } from '@clementineloft/routing'
import { createChannelCredentials, LinkListener, LinkPool, ProcessContext, sidecarService } from 'clementineloft/internals'
import type { CommonSettings } from 'clementineloft/internals'
import { streamChat } from '../lib/caller.js'
import { DemoFleet, demoModel } from '../lib/demo-fleet.js'
import { encodeText } from '../lib/model-fold.js'
import { computeQuantile } from './table.js'
import type { MeasuredTable } from './table.js'

const tokens = 400
const repetitions = 5
const streams = 48
const prompt = 'Measure the path of one token through three stages.'

const createFleet = (): DemoFleet => new DemoFleet()

/**
 * Calls the engines in sequence, without the router.
 *
 * @returns time of each token in milliseconds
 */
const measureDirect = async (fleet: DemoFleet): Promise<number[]> => {
  const intervals: number[] = []
  const session = `${createIdentifier()}.1`
  let rows = encodeText(prompt).map((row) => Buffer.from(row).toString('base64'))
  let position = 0
  for (let count = 0; count < tokens; count++) {
    const startedMs = performance.now()
    let inputs = rows
    let token = ''
    for (const [stage, sidecar] of fleet.sidecars.entries()) {
      const step = { session, firstLayer: stage * 4, lastLayer: stage * 4 + 3, isLastStage: stage === 2, position, rows: inputs }
      const response = await fetch(`${sidecar.url}/v1/steps`, { method: 'POST', body: JSON.stringify({ steps: [step] }) })
      const [result] = (await response.json() as { results: Array<{ rows?: string[], tokens?: Array<{ row: string }> }> }).results
      inputs = result?.rows ?? []
      token = result?.tokens?.at(-1)?.row ?? ''
    }
    position += rows.length
    rows = [token]
    intervals.push(performance.now() - startedMs)
  }
  return intervals
}

/**
 * Streams through the entry.
 *
 * @returns times in milliseconds: the first is the time to the first token, the others are intervals between tokens
 */
const measureRouted = async (fleet: DemoFleet): Promise<number[]> => {
  const { tokenMs } = await streamChat(fleet.entries[0]?.url as string, prompt, tokens)
  return tokenMs.map((ms, index) => ms - (tokenMs[index - 1] ?? 0))
}

/** Drives a pipeline over its own links. Activations are either forwarded by the sidecars or returned to the driver. */
class PathDriver extends LinkListener {
  private readonly context: ProcessContext
  private readonly pool: LinkPool
  private readonly server = new Server()
  private address = ''
  private handleStatus: (status: StatusFrame) => void = () => {}
  private handleTokens: (frame: TokensFrame) => void = () => {}

  constructor (private readonly fleet: DemoFleet) {
    super()
    const settings = {
      instance: { name: 'path-driver', data_centre: 'd', address: '127.0.0.1:0', admin_address: '127.0.0.1:0' },
      logs: { level: 'error', format: 'json' }
    } as CommonSettings
    this.context = new ProcessContext(settings)
    this.pool = new LinkPool(this.context, createChannelCredentials(), this)
    this.server.addService(sidecarService, {
      connect: (stream: ServerDuplexStream<{ frames: Frame[] }, object>) => {
        stream.on('data', (batch: { frames: Frame[] }) => { for (const frame of batch.frames) this.forwardStep(frame) })
      }
    })
  }

  async start (): Promise<void> {
    const port = await new Promise<number>((resolve, reject) => {
      this.server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => { if (error === null) resolve(bound); else reject(error) })
    })
    this.address = `127.0.0.1:${port}`
  }

  stop (): void {
    this.pool.close()
    this.server.forceShutdown()
  }

  override handleFrame (_: string, frame: Frame): void {
    if (frame.status != null) this.handleStatus(frame.status)
    if (frame.tokens != null) this.handleTokens(frame.tokens)
  }

  override handleHeader (): void {}

  override handleLost (): void {}

  /**
   * Generates tokens.
   *
   * @param isForwarded - whether sidecars forward activations to the next sidecar instead of to the driver
   * @returns time of each token in milliseconds
   */
  async run (isForwarded: boolean): Promise<number[]> {
    const request = createIdentifier()
    await this.open(request, isForwarded)
    const intervals: number[] = []
    let rows: Uint8Array[] = encodeText(prompt)
    let position = 0
    for (let count = 0; count < tokens; count++) {
      const startedMs = performance.now()
      const answered = new Promise<TokensFrame>((resolve) => {
        const last = position + rows.length - 1
        this.handleTokens = (frame) => { if (frame.position + frame.tokens.length - 1 === last) resolve(frame) }
      })
      this.send(0, { step: { request, attempt: 1, stage: 0, position, rows } })
      const frame = await answered
      position += rows.length
      rows = [frame.tokens.at(-1)?.row as Uint8Array]
      intervals.push(performance.now() - startedMs)
    }
    for (const stage of this.fleet.sidecars.keys()) this.send(stage, { close: { request, attempt: 1 } })
    return intervals
  }

  private async open (request: string, isForwarded: boolean): Promise<void> {
    let answered = 0
    const opened = new Promise<void>((resolve) => { this.handleStatus = () => { if (++answered === this.fleet.sidecars.length) resolve() } })
    for (const stage of this.fleet.sidecars.keys()) {
      const following = this.fleet.sidecars[stage + 1]
      const hop = following === undefined ? null : { endpoint: following.name, address: isForwarded ? following.address : this.address }
      const common = { request, attempt: 1, stage, team: 'bramble', model: demoModel, prompt: '', fingerprint: request }
      const open = { ...common, firstLayer: stage * 4, lastLayer: stage * 4 + 3, next: hop, deadlineMs: 0, isHeld: false, isSuspect: false }
      this.send(stage, { open })
    }
    await opened
  }

  private send (stage: number, frame: Frame): void {
    const sidecar = this.fleet.sidecars[stage] as DemoFleet['sidecars'][number]
    this.pool.send(sidecar.name, sidecar.address, frame)
  }

  private forwardStep (frame: Frame): void {
    if (frame.step != null) this.send(frame.step.stage, { step: frame.step })
  }
}

const formatQuantiles = (values: readonly number[]): string[] => [0.5, 0.95, 0.99].map((quantile) => computeQuantile(values, quantile).toFixed(2))

/** Times of several streams, in milliseconds. */
interface StreamTimes {
  first: number[]
  intervals: number[]
}

const runRepeatedly = async (run: () => Promise<number[]>): Promise<StreamTimes> => {
  const times: StreamTimes = { first: [], intervals: [] }
  await run()
  for (let repetition = 0; repetition < repetitions; repetition++) {
    const [first = 0, ...intervals] = await run()
    times.first.push(first)
    times.intervals.push(...intervals)
  }
  return times
}

const computeMedianDifference = (a: readonly number[], b: readonly number[]): string =>
  (computeQuantile(a, 0.5) - computeQuantile(b, 0.5)).toFixed(2)

const formatTimes = (times: StreamTimes): string[] => [computeQuantile(times.first, 0.5).toFixed(2), ...formatQuantiles(times.intervals)]

/** Measures one stream at a time on four paths: direct, routed, forwarded, and with every activation through the driver. */
export const measurePath = async (): Promise<MeasuredTable> => {
  const fleet = createFleet()
  await fleet.start()
  const driver = new PathDriver(fleet)
  await driver.start()
  try {
    const direct = await runRepeatedly(async () => await measureDirect(fleet))
    const routed = await runRepeatedly(async () => await measureRouted(fleet))
    const forwarded = await runRepeatedly(async () => await driver.run(true))
    const relayed = await runRepeatedly(async () => await driver.run(false))
    return {
      title: 'Path of a token over three stages',
      note: `One stream at a time, ${tokens} tokens, ${repetitions} repetitions after one to warm up, engines that answer at once. Entry and sidecars add ${computeMedianDifference(routed.intervals, direct.intervals)} ms to a token and ${computeMedianDifference(routed.first, direct.first)} ms to the first at the median; of a token's, sidecars ${computeMedianDifference(forwarded.intervals, direct.intervals)} ms, entry and its caller ${computeMedianDifference(routed.intervals, forwarded.intervals)} ms.`,
      columns: ['path', 'first token p50 ms', 'next p50 ms', 'next p95 ms', 'next p99 ms'],
      rows: [
        ['engines called directly', ...formatTimes(direct)],
        ['through entry and sidecars, streamed to the caller', ...formatTimes(routed)],
        ['stages driven, sidecar forwards to sidecar', ...formatTimes(forwarded)],
        ['stages driven, every activation through the driver', ...formatTimes(relayed)]
      ]
    }
  } finally {
    driver.stop()
    await fleet.stop()
  }
}

/** Processor time of the data path, from the `process_cpu_microseconds` metric of each process. */
export interface PathCost {
  tokensPerSecond: number
  entryMicrosecondsPerToken: number
  sidecarMicrosecondsPerRow: number
  entryMicrosecondsPerRequest: number
}

const readCpu = async (adminUrl: string): Promise<number> => {
  const text = await (await fetch(`${adminUrl}/metrics`)).text()
  return Number(/^process_cpu_microseconds (\d+)/m.exec(text)?.[1])
}

const runStreams = async (url: string, length: number): Promise<number> => {
  const answers = await Promise.all(Array.from({ length: streams }, async (_, index) => await streamChat(url, `${prompt} ${index}`, length)))
  return answers.reduce((sum, answer) => sum + answer.tokenMs.length, 0)
}

/**
 * Measures processor time per token and per request under many concurrent streams. Runs short and long streams, so that the
 * difference gives the cost of a token without that of a request.
 */
export const measurePathCost = async (): Promise<PathCost> => {
  const fleet = createFleet()
  await fleet.start()
  try {
    const entry = fleet.entries[0] as DemoFleet['entries'][number]
    await runStreams(entry.url, 50)
    const runSample = async (length: number): Promise<{ entry: number, sidecars: number, tokens: number, seconds: number }> => {
      const startedMs = performance.now()
      const before = await Promise.all([entry, ...fleet.sidecars].map(async (member) => await readCpu(member.adminUrl)))
      let generated = 0
      for (let repetition = 0; repetition < 3; repetition++) generated += await runStreams(entry.url, length)
      const after = await Promise.all([entry, ...fleet.sidecars].map(async (member) => await readCpu(member.adminUrl)))
      const used = after.map((value, index) => value - (before[index] as number))
      const [entryUsed = 0, ...sidecarsUsed] = used
      return { entry: entryUsed, sidecars: sidecarsUsed.reduce((sum, value) => sum + value, 0), tokens: generated, seconds: (performance.now() - startedMs) / 1000 }
    }
    const short = await runSample(1)
    const long = await runSample(200)
    const extraTokens = long.tokens - short.tokens
    return {
      tokensPerSecond: long.tokens / long.seconds,
      entryMicrosecondsPerToken: (long.entry - short.entry) / extraTokens,
      sidecarMicrosecondsPerRow: (long.sidecars - short.sidecars) / extraTokens / fleet.sidecars.length,
      entryMicrosecondsPerRequest: short.entry / short.tokens
    }
  } finally {
    await fleet.stop()
  }
}

/** Measures the cost of the data path and formats it as a table. */
export const measurePathCostTable = async (): Promise<MeasuredTable> => {
  const cost = await measurePathCost()
  return {
    title: 'Processor time of the data path',
    note: `${streams} streams at once of 1 and of 200 tokens, three stages, one process each; slopes between the two lengths.`,
    columns: ['figure', 'value'],
    rows: [
      ['tokens a second through one entry', cost.tokensPerSecond.toFixed(0)],
      ['entry, microseconds a token', cost.entryMicrosecondsPerToken.toFixed(0)],
      ['sidecar, microseconds a token and stage', cost.sidecarMicrosecondsPerRow.toFixed(0)],
      ['entry, microseconds a request of one token', cost.entryMicrosecondsPerRequest.toFixed(0)]
    ]
  }
}
