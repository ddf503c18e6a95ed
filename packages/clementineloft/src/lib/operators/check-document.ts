/**
 * Invariants that a change of the configuration must keep, whichever plan it comes from: a model keeps endpoints for all
 * layers, a service keeps an endpoint, and the number of key ranges of a service stays.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { ModelGraph } from '@clementineloft/routing'
import type { StageEndpoint } from '@clementineloft/routing'
import { configSchema } from './config-document.js'
import type { ConfigDocument } from './config-document.js'

const defaultTokensPerSecond = 1

const createStage = (name: string, endpoint: ConfigDocument['endpoints'][string]): StageEndpoint => ({
  name,
  address: '',
  dataCentre: endpoint.dataCentre,
  model: endpoint.model ?? '',
  firstLayer: endpoint.firstLayer ?? 0,
  lastLayer: endpoint.lastLayer ?? 0,
  tokensPerSecond: endpoint.tokensPerSecond ?? defaultTokensPerSecond
})

/**
 * @param document - a configuration
 * @param model - name of a model
 * @returns the maximum throughput of its serving endpoints in tokens per second; 0 if they do not cover all layers
 */
export const computeThroughput = (document: ConfigDocument, model: string): number => {
  const layers = document.models[model]?.layers ?? 0
  const stages = Object.entries(document.endpoints)
    .filter(([, endpoint]) => endpoint.model === model && endpoint.state === 'serving')
    .map(([name, endpoint]) => createStage(name, endpoint))
  const findLinkThroughput = (from: string, to: string): number =>
    document.links.find((link) => link.from === from && link.to === to)?.tokensPerSecond ?? Infinity
  return new ModelGraph(layers, stages, findLinkThroughput).maxTokensPerSecond
}

const countServingEndpoints = (document: ConfigDocument, service: string): number =>
  Object.values(document.endpoints).filter((endpoint) => endpoint.service === service && endpoint.state === 'serving').length

/**
 * Checks that a document has the right schema and keeps the invariants.
 *
 * @param before - the configuration in force
 * @param after - the proposed configuration
 * @throws `bad-request` if the schema is violated, `conflict` if an invariant is; the message names the violating part
 */
export const checkDocument = (before: ConfigDocument, after: ConfigDocument): void => {
  const parsed = configSchema.safeParse(after)
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `"${issue.path.join('.')}": ${issue.message}`)
    throw createError(ErrorKind.badRequest, `the resulting configuration would be invalid: ${issues.join('; ')}`)
  }
  for (const model of Object.keys(after.models)) {
    if (computeThroughput(before, model) > 0 && computeThroughput(after, model) === 0) {
      throw createError(ErrorKind.conflict, `no endpoints would cover all layers of model "${model}"`)
    }
  }
  for (const [service, { keyRanges }] of Object.entries(after.services)) {
    const previous = before.services[service]?.keyRanges ?? keyRanges
    if (keyRanges === previous) continue
    throw createError(ErrorKind.conflict, `service "${service}" has ${previous} key ranges; changing the number would lose the claims on keys`)
  }
  for (const service of Object.keys(after.services)) {
    if (countServingEndpoints(before, service) > 0 && countServingEndpoints(after, service) === 0) {
      throw createError(ErrorKind.conflict, `service "${service}" would be left without an endpoint`)
    }
  }
}
