/**
 * Rules that every configuration must keep, whatever plans led to it.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { ModelGraph } from '@clementineloft/routing'
import type { StageEndpoint } from '@clementineloft/routing'
import { configSchema } from './config-document.js'
import type { ConfigDocument } from './config-document.js'

const assumedTokensPerSecond = 1

const createStage = (name: string, endpoint: ConfigDocument['endpoints'][string]): StageEndpoint => ({
  name,
  address: '',
  dataCentre: endpoint.dataCentre,
  model: endpoint.model ?? '',
  firstLayer: endpoint.firstLayer ?? 0,
  lastLayer: endpoint.lastLayer ?? 0,
  tokensPerSecond: endpoint.tokensPerSecond ?? assumedTokensPerSecond
})

/**
 * @param document - a configuration
 * @param model - name of a model
 * @returns the most tokens a second that its serving endpoints can generate; 0 if they do not cover all layers
 */
export const computeThroughput = (document: ConfigDocument, model: string): number => {
  const layers = document.models[model]?.layers ?? 0
  const stages = Object.entries(document.endpoints)
    .filter(([, endpoint]) => endpoint.model === model && endpoint.state === 'serving')
    .map(([name, endpoint]) => createStage(name, endpoint))
  const findLink = (from: string, to: string): number =>
    document.links.find((link) => link.from === from && link.to === to)?.tokensPerSecond ?? Infinity
  return new ModelGraph(layers, stages, findLink).maxTokensPerSecond
}

const countWorkers = (document: ConfigDocument, service: string): number =>
  Object.values(document.endpoints).filter((endpoint) => endpoint.service === service && endpoint.state === 'serving').length

/**
 * Refuses a document that breaks a rule.
 *
 * @param before - the configuration in force
 * @param after - the one that is to follow
 * @throws `conflict` or `bad-request` that names the rule and the culprit
 */
export const checkDocument = (before: ConfigDocument, after: ConfigDocument): void => {
  const parsed = configSchema.safeParse(after)
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => `"${issue.path.join('.')}": ${issue.message}`)
    throw createError(ErrorKind.badRequest, `the configuration would have faults: ${faults.join('; ')}`)
  }
  for (const model of Object.keys(after.models)) {
    if (computeThroughput(before, model) > 0 && computeThroughput(after, model) === 0) {
      throw createError(ErrorKind.conflict, `no endpoints would cover all layers of model "${model}"`)
    }
  }
  for (const [service, { keyRanges }] of Object.entries(after.services)) {
    const earlier = before.services[service]?.keyRanges ?? keyRanges
    if (keyRanges === earlier) continue
    throw createError(ErrorKind.conflict, `service "${service}" has ${earlier} key ranges; another number would lose the claims on keys`)
  }
  for (const service of Object.keys(after.services)) {
    if (countWorkers(before, service) > 0 && countWorkers(after, service) === 0) {
      throw createError(ErrorKind.conflict, `service "${service}" would be left without an endpoint`)
    }
  }
}
