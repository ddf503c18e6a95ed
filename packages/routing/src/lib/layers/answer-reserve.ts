/**
 * Computes the memory that requests need beyond what they hold now.
 *
 * Addresses bursts of requests with long answers: when they start, only their prompts take memory, so that the endpoint seems
 * to have room for more than it can finish. It then runs out of memory and starts requests over, whose callers may leave.
 */
import type { EndpointReport } from '../calls/endpoint-report.js'
import type { RequestSize } from './path-costs.js'

/** Share of its answer that a running request still has to generate, on average. */
const remainingShare = 0.5

/**
 * @param report - state of the endpoint
 * @param layers - number of its layers
 * @param usual - mean size of a request
 * @returns memory that its running and queued requests will still need, in tokens times layers
 */
export const estimateGrowth = ({ active, queued }: EndpointReport, layers: number, usual: RequestSize): number =>
  (active * remainingShare * usual.answerTokens + queued * (usual.promptTokens + usual.answerTokens)) * layers
