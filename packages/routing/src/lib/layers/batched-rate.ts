/**
 * Estimates how many requests per second a group of endpoints serves if every endpoint of the group has all requests of
 * the group in its batch.
 *
 * Addresses long chains of slow endpoints, which have memory for many requests but answer each of them late: every
 * request slows the prompts of all others down at every endpoint that it passes, and every endpoint adds a hop to each
 * token. The path of a request is chosen by the same assumptions (`path-costs`).
 */
import type { EngineConfig } from '../calls/call-config.js'
import type { LayoutMember } from './group-rate.js'

const millisecondsPerSecond = 1000
/** Delay of a token from one endpoint to the next, in milliseconds, within a data centre and between two. */
const hopMs = { local: 0.3, remote: 3 } as const
/** Number of requests in a batch at which a prompt takes twice as long as in an empty batch. */
const promptDoublingRequests = 10

/**
 * @param members - endpoints of the group in the order in which a request passes them
 * @param shares - number of layers of each member
 * @param tokenCapacity - request tokens that fit into the memory of every member beside its layers
 * @returns requests per second
 */
export const computeBatchedRate = (
  members: readonly LayoutMember[],
  shares: readonly number[],
  engine: EngineConfig,
  tokenCapacity: number
): number => {
  const { usualPromptTokens: prompt, usualAnswerTokens: answer } = engine
  const concurrency = Math.min(engine.slots, tokenCapacity / (prompt + answer))
  let stepFactor = 0
  let readFactor = 0
  let hopsMs = 0
  for (const [index, { type, dataCentre }] of members.entries()) {
    const layerFraction = (shares[index] as number) / engine.layers
    stepFactor += layerFraction * type.stepFactor
    readFactor += layerFraction * type.readFactor
    const previous = members[index - 1]
    if (previous !== undefined) hopsMs += previous.dataCentre === dataCentre ? hopMs.local : hopMs.remote
  }
  const tokenMs = stepFactor * (engine.stepMs + engine.requestStepMs * concurrency) + hopsMs
  const promptMs = readFactor * prompt * millisecondsPerSecond / engine.promptTokensPerSecond * (1 + concurrency / promptDoublingRequests)
  return concurrency / (answer * tokenMs + promptMs) * millisecondsPerSecond
}
