/**
 * Chooses the endpoint of a plain service for one call.
 *
 * Answers the load pattern of few slots and many entries: the endpoint with the least work for its slots, from what it
 * last said and what this entry has sent since; endpoints that fail part of their calls count as busier.
 */
import type { RandomSource } from '@clementineloft/kernel'
import type { CallEndpoint } from './call-endpoint.js'
import type { EndpointHealth } from './endpoint-health.js'
import type { LoadTable } from '../load-table.js'

/** Work that a share of failures of one adds, in calls for each slot. */
const failureWeight = 4
/** Work that another data centre adds, in calls for each slot; breaks ties only. */
const distanceWeight = 0.05

/**
 * @param endpoints - live endpoints of the service
 * @param dataCentre - data centre of the caller's entry
 * @param avoided - endpoints that have failed this call already
 * @returns the best endpoint, or `undefined` if none may be used
 */
export const chooseEndpoint = (
  endpoints: readonly CallEndpoint[],
  loads: LoadTable,
  health: EndpointHealth,
  dataCentre: string,
  avoided: ReadonlySet<string>,
  random: RandomSource
): CallEndpoint | undefined => {
  const usable = endpoints.filter((endpoint) => health.isUsable(endpoint.id) && !avoided.has(endpoint.id))
  let best: CallEndpoint | undefined
  let bestWork = Infinity
  for (const endpoint of usable) {
    const distance = endpoint.dataCentre === dataCentre ? 0 : distanceWeight
    const work = loads.estimate(endpoint.id) / Math.max(1, endpoint.slots) +
      failureWeight * health.getFailureShare(endpoint.id) + distance + distanceWeight * random.next()
    if (work >= bestWork) continue
    best = endpoint
    bestWork = work
  }
  return best
}
