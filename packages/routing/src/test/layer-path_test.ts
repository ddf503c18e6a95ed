import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { ManualClock } from '@clementineloft/kernel'
import { findPath, LinkLoads, PathCosts, planLayout } from '@clementineloft/routing'
import type { CallEndpoint, PathCandidate, PathPart } from '@clementineloft/routing'
import { createEndpoints, createMembers, engine } from './fleet.js'

const seed = 20_261_204

const createEndpoint = (id: string, dataCentre = 'a'): CallEndpoint =>
  ({ id, bornMs: 1, address: id, dataCentre, service: 's', isLeaving: false, slots: 10, type: 't' })

const createCandidate = (id: string, from: number, to: number, layerMs: number, dataCentre = 'a'): PathCandidate =>
  ({ endpoint: createEndpoint(id, dataCentre), span: { from, to }, layerMs, entryMs: 0 })

const formatParts = (parts: ReturnType<typeof findPath>): string =>
  parts?.map((part) => `${part.endpoint.id}:${part.from}-${part.to}`).join(' ') ?? 'none'

test(`every path runs each layer once and in order, within the spans of its endpoints, and uses no endpoint twice (seed ${seed})`, () => {
  const spans = fc.array(fc.record({ from: fc.nat(11), length: fc.integer({ min: 1, max: 12 }), layerMs: fc.integer({ min: 1, max: 9 }) }), { maxLength: 9 })
  fc.assert(fc.property(spans, (items) => {
    const candidates = items.map(({ from, length, layerMs }, index) => createCandidate(`e${index}`, from, Math.min(12, from + length), layerMs))
    const path = findPath(candidates, 12, () => 1)
    const isCovered = Array.from({ length: 12 }, (_, layer) => candidates.some(({ span }) => span.from <= layer && layer < span.to)).every(Boolean)
    assert.equal(path !== undefined, isCovered)
    if (path === undefined) return
    let at = 0
    for (const part of path) {
      assert.equal(part.from, at)
      assert.ok(part.to > part.from)
      const { span } = candidates.find(({ endpoint }) => endpoint.id === part.endpoint.id) as PathCandidate
      assert.ok(span.from <= part.from && part.to <= span.to)
      at = part.to
    }
    assert.equal(at, 12)
    assert.equal(new Set(path.map((part) => part.endpoint.id)).size, path.length)
  }), { seed, numRuns: 500 })
})

const estimateTestHop = (from: string, to: string): number => from === to ? 1 : 4

/** @returns the cost of the cheapest path over the candidates, by exhaustive search; `Infinity` if there is none */
const findCheapestMs = (candidates: readonly PathCandidate[], layers: number, from = 0, last?: PathCandidate, used: readonly PathCandidate[] = []): number => {
  if (from === layers) return 0
  let best = Infinity
  for (const candidate of candidates) {
    if (used.includes(candidate) || candidate.span.from > from || candidate.span.to <= from) continue
    const hopMs = last === undefined ? candidate.entryMs : estimateTestHop(last.endpoint.dataCentre, candidate.endpoint.dataCentre)
    for (let to = from + 1; to <= candidate.span.to; to++) {
      const restMs = findCheapestMs(candidates, layers, to, candidate, [...used, candidate])
      best = Math.min(best, hopMs + (to - from) * candidate.layerMs + restMs)
    }
  }
  return best
}

const computePathMs = (candidates: readonly PathCandidate[], parts: readonly PathPart[]): number => {
  let costMs = 0
  for (const [index, part] of parts.entries()) {
    const candidate = candidates.find(({ endpoint }) => endpoint.id === part.endpoint.id) as PathCandidate
    const previous = parts[index - 1]
    costMs += (part.to - part.from) * candidate.layerMs
    costMs += previous === undefined ? candidate.entryMs : estimateTestHop(previous.endpoint.dataCentre, part.endpoint.dataCentre)
  }
  return costMs
}

test(`the path is as cheap as the cheapest one of an exhaustive search (seed ${seed})`, () => {
  const item = fc.record({ from: fc.nat(5), length: fc.integer({ min: 1, max: 6 }), layerMs: fc.integer({ min: 1, max: 9 }), dataCentre: fc.constantFrom('a', 'b', 'c') })
  fc.assert(fc.property(fc.array(item, { maxLength: 6 }), (items) => {
    const candidates = items.map(({ from, length, layerMs, dataCentre }, index) => createCandidate(`e${index}`, from, Math.min(6, from + length), layerMs, dataCentre))
    const path = findPath(candidates, 6, estimateTestHop)
    assert.equal(path === undefined ? Infinity : computePathMs(candidates, path), findCheapestMs(candidates, 6))
  }), { seed, numRuns: 2000 })
})

test('the transfer times that a search computes do not grow with the number of endpoints', () => {
  const countHops = (copies: number): number => {
    let hops = 0
    const candidates = Array.from({ length: copies * 8 }, (_, index) => createCandidate(`e${index}`, index % 8 * 10, index % 8 * 10 + 10, 1 + index % 3, `dc${index % 5}`))
    findPath(candidates, 80, (from, to) => {
      hops++
      return from === to ? 1 : 4
    })
    return hops
  }
  assert.equal(countHops(57), countHops(14))
})

test('a part may begin and end inside the span of an endpoint, so that any copy can replace a lost one', () => {
  const path = findPath([createCandidate('x', 0, 4, 1), createCandidate('y', 2, 9, 5), createCandidate('z', 6, 10, 1)], 10, () => 1)
  assert.equal(formatParts(path), 'x:0-4 y:4-6 z:6-10')
})

test('a running stream keeps its first part and gets new parts after it', () => {
  const first = createEndpoint('x')
  const rest = findPath([createCandidate('y', 2, 9, 5), createCandidate('z', 6, 10, 1)], 10, () => 1, { layer: 4, predecessor: first })
  assert.equal(formatParts(rest), 'y:4-6 z:6-10')
})

test('an endpoint without free memory is not a candidate, even if only this entry has filled it since the last report', () => {
  const clock = new ManualClock()
  const costs = new PathCosts(clock)
  const members = createMembers()
  const layout = planLayout(members, engine)
  const endpoint = createEndpoints(members, layout).find(({ layers }) => layers !== undefined) as CallEndpoint
  const type = engine.types.find(({ name }) => name === endpoint.type) as typeof engine.types[number]
  const size = { promptTokens: 800, answerTokens: 200 }
  const layers = endpoint.layers as { from: number, to: number }
  const totalTokenLayers = 40_000 * (layers.to - layers.from)
  const entries = 8
  costs.recordReport(endpoint.id, { bornMs: 1, layers, active: 0, queued: 0, usedTokenLayers: 0, totalTokenLayers, pace: 1 }, entries)
  let sent = 0
  while (costs.createCandidate(endpoint, type, engine, size, 'a') !== undefined) {
    costs.recordStart([{ endpoint, ...layers }], size)
    sent++
  }
  assert.ok(sent * entries * 1000 <= 40_000, `${sent} requests of each of ${entries} entries fit into the memory`)
  assert.ok(sent >= 3)
})

test('the cost of a link between data centres rises with its load and falls again once it is idle', () => {
  const clock = new ManualClock()
  const links = new LinkLoads(clock)
  assert.equal(links.estimateDelayFactor('a', 'b', 22_000, 8), 1)
  for (let request = 0; request < 5; request++) links.record('a', 'b', 500)
  assert.ok(links.estimateDelayFactor('b', 'a', 22_000, 8) > 4)
  assert.equal(links.estimateDelayFactor('a', 'c', 22_000, 8), 1)
  clock.advance(10_000)
  assert.ok(links.estimateDelayFactor('a', 'b', 22_000, 8) < 1.01)
})

test('when a data centre has lost its fast copy, requests use a slower local copy rather than cross a busy link', () => {
  const local = [createCandidate('fast', 0, 5, 1), createCandidate('slow', 5, 10, 30)]
  const remote = createCandidate('far', 5, 10, 1, 'b')
  const idle = findPath([...local, remote], 10, (from, to) => from === to ? 1 : 20)
  const busy = findPath([...local, remote], 10, (from, to) => from === to ? 1 : 300)
  assert.equal(formatParts(idle), 'fast:0-5 far:5-10')
  assert.equal(formatParts(busy), 'fast:0-5 slow:5-10')
})
