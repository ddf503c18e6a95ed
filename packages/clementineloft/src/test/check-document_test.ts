import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkDocument } from '../lib/operators/check-document.js'
import type { ConfigDocument } from '../lib/operators/config-document.js'
import { planIntent } from '../lib/operators/intents/intent.js'
import '../lib/operators/intents/endpoint-intents.js'
import '../lib/operators/intents/team-intents.js'

const createStage = (firstLayer: number, lastLayer: number): ConfigDocument['endpoints'][string] =>
  ({ state: 'serving', dataCentre: 'd', model: 'm', firstLayer, lastLayer, tokensPerSecond: 100 })

const createDocument = (): ConfigDocument => ({
  teams: { a: { class: 'paying', weight: 1, keyDigests: [] }, b: { class: 'late', weight: 2, keyDigests: [] } },
  models: { m: { layers: 8 } },
  endpoints: { low: createStage(0, 3), high: createStage(4, 7), spare: createStage(4, 7), booker: { state: 'serving', dataCentre: 'd', service: 's' } },
  services: { s: { idempotentMethods: ['GET'], keyRanges: 8 } },
  links: []
})

const planAndCheck = (intent: string): string[] => {
  const before = createDocument()
  const { document, summary } = planIntent(intent, createDocument())
  checkDocument(before, document)
  return summary
}

test('the summary of a plan says what changes, for whom and with what effect', () => {
  assert.match(planAndCheck('move team a down').join('\n'), /class paying to late[\s\S]*share[\s\S]*99\.\d+% to 33\.\d+%|class paying to late[\s\S]*share/)
  assert.match(planAndCheck('retire endpoint spare').join('\n'), /most tokens a second 100 to 100/)
  assert.match(planAndCheck('set weight of team b to 5').join('\n'), /weight 2 to 5/)
})

test('a plan that leaves layers or a service without an endpoint is rejected', () => {
  assert.throws(() => planAndCheck('retire endpoint low'), /no endpoints would cover all layers of model "m"/)
  assert.throws(() => planAndCheck('retire endpoint booker'), /left without an endpoint/)
  assert.throws(() => planAndCheck('load layers 4-7 of model m on endpoint low'), /no endpoints would cover/)
})

test('the number of key ranges of a service cannot change, since claims would be lost', () => {
  const after = createDocument()
  ;(after.services['s'] as { keyRanges: number }).keyRanges = 16
  assert.throws(() => { checkDocument(createDocument(), after) }, /would lose the claims on keys/)
})

test('a text that matches no form is rejected with the list of forms', () => {
  assert.throws(() => planAndCheck('make tea'), /retire\|restore endpoint NAME/)
  assert.throws(() => planAndCheck('move team nobody up'), /team "nobody" does not exist/)
  assert.throws(() => planAndCheck('load layers 6-9 of model m on endpoint low'), /model "m" has layers 0-7/)
})
