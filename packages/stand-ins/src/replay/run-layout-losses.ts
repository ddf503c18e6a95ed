/**
 * Replays the decisions on a layout while endpoints are lost in pairs, for some seconds or for good, new ones are added
 * empty, and the lease of the layout changes hands. Loads take time in proportion to their layers.
 */
import { SeededRandom } from '@clementineloft/kernel'
import { countCopies, LayoutPolicy } from '@clementineloft/routing'
import type { CallEndpoint, LayerAssignment, LayerSpan, LayoutMember, LayoutTerms } from '@clementineloft/routing'
import { createEndpoints } from '@clementineloft/routing/test-fleet'

const tickMs = 400
const firstLossMs = 30_000
const lossIntervalMs = 30_000
/** Time after a permanent loss until an empty endpoint of the same type replaces each lost one, in milliseconds. */
const replacementMs = 20_000
const leaseChangeIntervalMs = 120_000
const briefLossShare = 0.6
const briefLossMs = { least: 3000, most: 5000 } as const

/** Outcome of a replay, from the time just before the first loss. */
export interface LayoutLossesResult {
  /** Layouts that were written. */
  changes: number
  /** Loads that endpoints began, and their layers. */
  loads: number
  loadedLayers: number
  /** Fewest copies of a layer at endpoints that were not loading. */
  fewestCopies: number
}

interface HeldSpan extends LayerSpan {
  readyMs: number
}

/** One replay with one goal. */
class LayoutLossesRun {
  private readonly random: SeededRandom
  private policy = new LayoutPolicy()
  private live: LayoutMember[]
  /** Endpoints of {@link live}, created again only when it changes. */
  private endpoints: CallEndpoint[] = []
  private layout: LayerAssignment[] | undefined
  private readonly silentUntilMs = new Map<string, number>()
  private replacements: Array<{ atMs: number, member: LayoutMember }> = []
  private readonly held = new Map<string, HeldSpan>()
  private added = 0
  private readonly result: LayoutLossesResult = { changes: 0, loads: 0, loadedLayers: 0, fewestCopies: Infinity }

  constructor (members: readonly LayoutMember[], private readonly terms: LayoutTerms, seed: number) {
    this.random = new SeededRandom(seed)
    this.live = [...members]
    this.endpoints = createEndpoints(this.live, [])
  }

  run (seconds: number): LayoutLossesResult {
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += tickMs) {
      if (nowMs >= firstLossMs && nowMs % lossIntervalMs < tickMs) this.losePair(nowMs)
      if (nowMs > 0 && nowMs % leaseChangeIntervalMs < tickMs) this.policy = new LayoutPolicy()
      this.applyReturns(nowMs)
      this.decide(nowMs)
      this.load(nowMs)
      if (nowMs < firstLossMs) continue
      const serving = [...this.held.values()].filter(({ readyMs }) => readyMs <= nowMs)
      this.result.fewestCopies = Math.min(this.result.fewestCopies, ...countCopies(serving, this.terms.layers))
    }
    return this.result
  }

  private losePair (nowMs: number): void {
    const one = this.random.pickItem(this.live)
    const other = this.random.pickItem(this.live.filter((member) => member !== one && member.dataCentre === one.dataCentre))
    const isBrief = this.random.next() < briefLossShare
    const untilMs = nowMs + briefLossMs.least + this.random.next() * (briefLossMs.most - briefLossMs.least)
    for (const lost of [one, other]) {
      this.held.delete(lost.address)
      if (isBrief) this.silentUntilMs.set(lost.address, untilMs)
      else {
        this.live = this.live.filter((member) => member !== lost)
        this.replacements.push({ atMs: nowMs + replacementMs, member: { ...lost, address: `${lost.dataCentre}-added-${this.added++}` } })
      }
    }
    this.endpoints = createEndpoints(this.live, [])
  }

  private applyReturns (nowMs: number): void {
    for (const [address, untilMs] of this.silentUntilMs) {
      if (untilMs <= nowMs) this.silentUntilMs.delete(address)
    }
    if (!this.replacements.some(({ atMs }) => atMs <= nowMs)) return
    this.live.push(...this.replacements.filter(({ atMs }) => atMs <= nowMs).map(({ member }) => member))
    this.endpoints = createEndpoints(this.live, [])
    this.replacements = this.replacements.filter(({ atMs }) => atMs > nowMs)
  }

  private decide (nowMs: number): void {
    this.policy.observe(this.endpoints, new Set(this.silentUntilMs.keys()), this.terms, nowMs)
    const decided = this.policy.decide(this.layout, this.terms, nowMs)
    if (decided === undefined) return
    this.layout = decided
    if (nowMs >= firstLossMs) this.result.changes++
  }

  /** Lets every endpoint load the layers that it lacks; an endpoint that loads serves none until it has loaded. */
  private load (nowMs: number): void {
    const present = new Set(this.live.map(({ address }) => address))
    for (const { address, from, to } of this.layout ?? []) {
      if (!present.has(address) || this.silentUntilMs.has(address)) continue
      const before = this.held.get(address)
      const shared = before === undefined ? 0 : Math.max(0, Math.min(to, before.to) - Math.max(from, before.from))
      const missing = to - from - shared
      const readyMs = missing === 0 ? before?.readyMs ?? nowMs : nowMs + missing / this.terms.layers * this.terms.loadMs
      this.held.set(address, { from, to, readyMs })
      if (missing === 0 || nowMs < firstLossMs) continue
      this.result.loads++
      this.result.loadedLayers += missing
    }
  }
}

/** Replays losses on a fleet for some seconds. */
export const runLayoutLosses = (members: readonly LayoutMember[], terms: LayoutTerms, seconds: number, seed: number): LayoutLossesResult =>
  new LayoutLossesRun(members, terms, seed).run(seconds)
