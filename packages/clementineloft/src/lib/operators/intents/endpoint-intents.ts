/**
 * Intents that change endpoints.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { computeThroughput } from '../check-document.js'
import type { ConfigDocument, EndpointConfig } from '../config-document.js'
import { Intent, registerIntent } from './intent.js'
import type { IntentResult } from './intent.js'

const findEndpoint = (document: ConfigDocument, name: string): EndpointConfig => {
  const endpoint = document.endpoints[name]
  if (endpoint === undefined) throw createError(ErrorKind.notFound, `endpoint "${name}" does not exist`)
  return endpoint
}

/** Describes how a change affects the throughput of a model. */
const describeThroughput = (before: ConfigDocument, after: ConfigDocument, model: string | undefined): string[] => {
  if (model === undefined) return []
  const throughputBefore = Math.round(computeThroughput(before, model))
  const throughputAfter = Math.round(computeThroughput(after, model))
  return [`model "${model}": most tokens a second ${throughputBefore} to ${throughputAfter}`]
}

/** Takes an endpoint out of service, or returns it to service. */
class SetEndpointState extends Intent {
  override readonly form = 'retire|restore endpoint NAME'
  override readonly pattern = /^(retire|restore) endpoint (\S+)$/

  override plan (document: ConfigDocument, [action, name = '']: string[]): IntentResult {
    const before = structuredClone(document)
    const endpoint = findEndpoint(document, name)
    endpoint.state = action === 'retire' ? 'retired' : 'serving'
    const effect = action === 'retire'
      ? 'takes no new work; work in flight ends or moves'
      : 'takes new work'
    return { document, summary: [`endpoint "${name}": ${effect}`, ...describeThroughput(before, document, endpoint.model)] }
  }
}

/** Changes the layers that an endpoint holds. */
class LoadLayers extends Intent {
  override readonly form = 'load layers FIRST-LAST of model NAME on endpoint NAME'
  override readonly pattern = /^load layers (\d+)-(\d+) of model (\S+) on endpoint (\S+)$/

  override plan (document: ConfigDocument, [first, last, model = '', name = '']: string[]): IntentResult {
    const before = structuredClone(document)
    const endpoint = findEndpoint(document, name)
    const layers = document.models[model]?.layers
    if (layers === undefined) throw createError(ErrorKind.notFound, `model "${model}" does not exist`)
    if (Number(first) > Number(last) || Number(last) >= layers) {
      throw createError(ErrorKind.badRequest, `layers ${first}-${last} do not exist; model "${model}" has layers 0-${layers - 1}`)
    }
    const previousModel = endpoint.model
    endpoint.model = model
    endpoint.firstLayer = Number(first)
    endpoint.lastLayer = Number(last)
    const throughputLines = [...new Set([previousModel, model])].flatMap((affected) => describeThroughput(before, document, affected))
    return { document, summary: [`endpoint "${name}": holds layers ${first}-${last} of model "${model}"`, ...throughputLines] }
  }
}

registerIntent(new SetEndpointState())
registerIntent(new LoadLayers())
