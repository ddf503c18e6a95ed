import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SeededRandom } from '@clementineloft/kernel'
import { LoadTable, ModelGraph, PipelinePicker } from '@clementineloft/routing'
import type { StageEndpoint } from '@clementineloft/routing'

const createStage = (name: string, firstLayer: number, lastLayer: number, tokensPerSecond: number, dataCentre = 'd'): StageEndpoint =>
  ({ name, address: name, dataCentre, model: 'm', firstLayer, lastLayer, tokensPerSecond })

const stages = [
  createStage('a1', 0, 3, 100), createStage('a2', 0, 3, 300),
  createStage('b1', 4, 7, 800), createStage('whole', 0, 7, 50)
]

test('the maximum flow sums pipelines with different layer splits and is bounded by the bottleneck layers', () => {
  assert.equal(new ModelGraph(8, stages, () => Infinity).maxTokensPerSecond, 450)
  assert.equal(new ModelGraph(8, stages.slice(0, 2), () => Infinity).maxTokensPerSecond, 0)
})

test('the link capacity between data centres bounds the maximum flow', () => {
  const split = [createStage('a', 0, 3, 500, 'x'), createStage('b', 4, 7, 500, 'y')]
  assert.equal(new ModelGraph(8, split, () => 40).maxTokensPerSecond, 40)
})

test('every picked pipeline covers all layers in order and contains only usable endpoints', () => {
  const graph = new ModelGraph(8, stages, () => Infinity)
  const picker = new PipelinePicker(new LoadTable(), new SeededRandom(1))
  for (let turn = 0; turn < 500; turn++) {
    const pipeline = picker.pick(graph, (name) => name !== 'a2') as StageEndpoint[]
    let boundary = 0
    for (const stage of pipeline) {
      assert.equal(stage.firstLayer, boundary)
      assert.notEqual(stage.name, 'a2')
      boundary = stage.lastLayer + 1
    }
    assert.equal(boundary, 8)
  }
  assert.equal(picker.pick(graph, (name) => name === 'a1'), undefined)
})

test('a replacement holds the same layers as the replaced endpoint', () => {
  const graph = new ModelGraph(8, stages, () => Infinity)
  const picker = new PipelinePicker(new LoadTable(), new SeededRandom(1))
  assert.equal(picker.pickReplacement(graph, stages[0] as StageEndpoint, () => true)?.name, 'a2')
  assert.equal(picker.pickReplacement(graph, stages[2] as StageEndpoint, () => true), undefined)
})
