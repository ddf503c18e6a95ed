/**
 * Replays calls from many entries to endpoints with slots and a queue, in steps of one millisecond. Entries learn of the
 * load from the answers to their own calls, or from reports that all of them receive at intervals.
 */
import { ManualClock, SeededRandom } from '@clementineloft/kernel'
import type { CallEndpoint } from '@clementineloft/routing'
import type { BalanceFactory, BalancePolicy } from './balance-policy.js'

/** How the arrival rate changes. */
export const ArrivalPattern = { constant: 'constant', wave: 'wave', burst: 'burst' } as const
export type ArrivalPattern = typeof ArrivalPattern[keyof typeof ArrivalPattern]

/** Conditions of a replay. */
export interface BalanceLoad {
  endpoints: number
  entries: number
  slots: number
  /** Minimum and maximum time of a call on the fastest endpoints, in milliseconds. */
  callMs: readonly [number, number]
  /** Interval of reports, in milliseconds; 0 if the load comes with answers. */
  reportMs: number
  /** Share of the reports that are lost, from 0 to 1. */
  lostShare?: number
  /** Whether the first endpoint always reports that it is idle. */
  isFirstFalse?: boolean
  /** Mean arrival rate, as a share of the capacity. */
  share: number
  pattern: ArrivalPattern
  /** Time of a call, relative to the fastest endpoints, by kind of endpoint; three speeds if absent. */
  speeds?: readonly number[]
  seconds: number
}

/** Outcome of a replay. */
export interface BalanceResult {
  /** Load per slot of the most loaded endpoint, at each sample. */
  highestLoads: number[]
  /** Share of the endpoints' time during which one is full while another of its speed has a third of its slots free. */
  unevenShare: number
  /** Times that calls waited at endpoints, in milliseconds. */
  waitMs: number[]
}

interface Call { entry: BalancePolicy, arrivedMs: number, workMs: number }

interface EndpointState { endpoint: CallEndpoint, speed: number, running: number, queue: Call[] }

/** Three kinds of endpoint. */
const usualSpeeds = [1, 1.5, 2.2] as const
const sampleMs = 10
const warmUpMs = 1000
const wave = { periodMs: 2000, amplitude: 0.25 } as const
const burst = { periodMs: 2000, lengthMs: 300, high: 1.25, low: 0.955 } as const

const rateFactors: Record<ArrivalPattern, (nowMs: number) => number> = {
  constant: () => 1,
  wave: (nowMs) => 1 + wave.amplitude * Math.sin(2 * Math.PI * nowMs / wave.periodMs),
  burst: (nowMs) => nowMs % burst.periodMs < burst.lengthMs ? burst.high : burst.low
}

/** One replay under one policy. Arrivals and times of calls depend on the seed alone, not on the policy. */
export class BalanceReplay {
  private readonly clock = new ManualClock()
  private readonly arrivals: SeededRandom
  private readonly losses: SeededRandom
  private readonly states: EndpointState[]
  private readonly statesById: Map<string, EndpointState>
  private readonly endpoints: CallEndpoint[]
  private readonly entries: BalancePolicy[]
  private readonly endsByMs = new Map<number, Array<{ state: EndpointState, call: Call }>>()
  private readonly result: BalanceResult = { highestLoads: [], unevenShare: 0, waitMs: [] }
  private unevenSamples = 0
  private nowMs = 0

  constructor (private readonly load: BalanceLoad, createPolicy: BalanceFactory, seed: number) {
    this.arrivals = new SeededRandom(seed)
    this.losses = new SeededRandom(seed + 1)
    const choices = new SeededRandom(seed + 2)
    this.states = Array.from({ length: load.endpoints }, (_, index) => createState(index, load))
    this.statesById = new Map(this.states.map((state) => [state.endpoint.id, state]))
    this.endpoints = this.states.map(({ endpoint }) => endpoint)
    const getLoad = (id: string): number => countRequests(this.statesById.get(id) as EndpointState)
    this.entries = Array.from({ length: load.entries }, () => createPolicy(this.clock, choices, getLoad))
  }

  run (): BalanceResult {
    const { load } = this
    const meanMs = (load.callMs[0] + load.callMs[1]) / 2
    const perMs = load.share * this.states.reduce((sum, { speed }) => sum + load.slots / (meanMs * speed), 0)
    const endMs = warmUpMs + load.seconds * 1000
    for (; this.nowMs < endMs; this.nowMs++) {
      this.endCalls()
      if (load.reportMs > 0 && this.nowMs % load.reportMs === 0) this.report()
      for (let due = perMs * rateFactors[load.pattern](this.nowMs); due > this.arrivals.next(); due--) this.receiveCall()
      if (this.nowMs >= warmUpMs && this.nowMs % sampleMs === 0) this.recordSample()
      this.clock.advance(1)
    }
    this.result.unevenShare = this.unevenSamples / this.result.highestLoads.length / this.states.length
    return this.result
  }

  private receiveCall (): void {
    const { callMs: [least, most] } = this.load
    const entry = this.arrivals.pickItem(this.entries)
    const workMs = least + (most - least) * this.arrivals.next()
    const { id } = entry.choose(this.endpoints)
    const state = this.statesById.get(id) as EndpointState
    entry.recordStart(id)
    state.queue.push({ entry, arrivedMs: this.nowMs, workMs })
    this.startQueued(state)
  }

  private startQueued (state: EndpointState): void {
    while (state.running < state.endpoint.slots) {
      const call = state.queue.shift()
      if (call === undefined) return
      state.running++
      if (this.nowMs >= warmUpMs) this.result.waitMs.push(this.nowMs - call.arrivedMs)
      const endMs = this.nowMs + Math.max(1, Math.round(call.workMs * state.speed))
      const ends = this.endsByMs.get(endMs)
      if (ends === undefined) this.endsByMs.set(endMs, [{ state, call }])
      else ends.push({ state, call })
    }
  }

  private endCalls (): void {
    for (const { state, call } of this.endsByMs.get(this.nowMs) ?? []) {
      const { id } = state.endpoint
      state.running--
      this.startQueued(state)
      if (this.load.reportMs === 0 && !this.isLost()) call.entry.recordReport(id, this.readLoad(state))
      call.entry.recordEnd(id)
    }
    this.endsByMs.delete(this.nowMs)
  }

  private report (): void {
    for (const state of this.states) {
      for (const entry of this.entries) {
        if (!this.isLost()) entry.recordReport(state.endpoint.id, this.readLoad(state))
      }
    }
  }

  /** @returns what the endpoint reports */
  private readLoad (state: EndpointState): number {
    return this.load.isFirstFalse === true && state === this.states[0] ? 0 : countRequests(state)
  }

  private isLost (): boolean {
    return this.load.lostShare !== undefined && this.losses.next() < this.load.lostShare
  }

  private recordSample (): void {
    const hasRoom = new Set(this.states.filter((state) => countRequests(state) <= this.load.slots * 2 / 3).map(({ speed }) => speed))
    let highest = 0
    for (const state of this.states) {
      const requests = countRequests(state)
      highest = Math.max(highest, requests / this.load.slots)
      if (requests >= this.load.slots && hasRoom.has(state.speed)) this.unevenSamples++
    }
    this.result.highestLoads.push(highest)
  }
}

const countRequests = ({ running, queue }: EndpointState): number => running + queue.length

const createState = (index: number, { slots, speeds = usualSpeeds }: BalanceLoad): EndpointState => {
  const id = `e${index}`
  const endpoint = { id, bornMs: 1, address: id, dataCentre: 'a', service: 's', isLeaving: false, slots }
  return { endpoint, speed: speeds[index % speeds.length] as number, running: 0, queue: [] }
}
