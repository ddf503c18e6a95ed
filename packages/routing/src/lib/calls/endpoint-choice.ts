/**
 * Chooses the endpoint of a plain service for one call.
 *
 * Addresses few slots and many entries: selects the endpoint with the least work per slot, computed from its last report
 * and what this entry has sent since. Endpoints that fail part of their calls count as busier.
 */
import type { RandomSource } from '@clementineloft/kernel'
import type { CallEndpoint } from './call-endpoint.js'
import type { EndpointHealth } from './endpoint-health.js'
import type { LoadTable } from '../load-table.js'

/** Work that a failure rate of 1 adds, in calls per slot. */
const failureRateWeight = 4
/** Work that being in another data centre adds, in calls per slot; only breaks ties. */
const remoteWeight = 0.05

/**
 * @param endpoints - live endpoints of the service
 * @param dataCentre - data centre of this entry
 * @param excluded - endpoints that have already failed this call
 * @returns the endpoint with the least work, or `undefined` if none is usable
 */
export const chooseEndpoint = (
  endpoints: readonly CallEndpoint[],
  loads: LoadTable,
  health: EndpointHealth,
  dataCentre: string,
  excluded: ReadonlySet<string>,
  random: RandomSource
): CallEndpoint | undefined => {
  const usable = endpoints.filter((endpoint) => health.isUsable(endpoint.id) && !excluded.has(endpoint.id))
  let best: CallEndpoint | undefined
  let lowestWork = Infinity
  for (const endpoint of usable) {
    const remoteWork = endpoint.dataCentre === dataCentre ? 0 : remoteWeight
    const work = loads.estimate(endpoint.id) / Math.max(1, endpoint.slots) +
      failureRateWeight * health.getFailureRate(endpoint.id) + remoteWork + remoteWeight * random.next()
    if (work >= lowestWork) continue
    best = endpoint
    lowestWork = work
  }
  return best
}
