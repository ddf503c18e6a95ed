/**
 * Chooses the endpoint of a plain service for one call.
 *
 * Addresses few slots and many entries, each of which learns of the load only from answers to its own calls: selects the
 * endpoint with the least estimated work per slot from a random sample, which is the smaller the less is known and in which
 * faster endpoints are more often. Endpoints that fail part of their calls count as busier.
 */
import type { RandomSource } from '@clementineloft/kernel'
import type { CallEndpoint } from './call-endpoint.js'
import type { EndpointHealth } from './endpoint-health.js'
import type { EndpointLoads, LoadEstimate } from './endpoint-loads.js'
import { chooseFromSample } from './sample-choice.js'

/** Work that a failure rate of 1 adds, in calls per slot. */
const failureRateWeight = 4
/** Work that being in another data centre adds, in calls per slot; only breaks ties. */
const remoteWeight = 0.05
/** Minimum share of the loads that counts as unknown; bounds the number of draws for the sample. */
const minUnknownShare = 0.01
/** Maximum ratio of speeds; bounds how often an endpoint is drawn that fails calls at once or does not answer. */
const maxSpeedRatio = 4
/** Minimum share of successes that counts for the speed. */
const minSuccessRate = 0.05

/**
 * @param endpoints - live endpoints of the service
 * @param dataCentre - data centre of this entry
 * @param excluded - endpoints that have already failed this call
 * @returns the chosen endpoint, or `undefined` if none is usable
 */
export const chooseEndpoint = (
  endpoints: readonly CallEndpoint[],
  loads: EndpointLoads,
  health: EndpointHealth,
  dataCentre: string,
  excluded: ReadonlySet<string>,
  random: RandomSource
): CallEndpoint | undefined => {
  const usable = endpoints.filter((endpoint) => health.isUsable(endpoint.id) && !excluded.has(endpoint.id))
  if (usable.length < 2) return usable[0]
  const estimates = loads.estimate(usable)
  const longestStayMs = Math.max(...estimates.map(({ stayMs }) => stayMs))
  const candidates = usable.map((endpoint, index) => {
    const { value, stayMs } = estimates[index] as LoadEstimate
    const slots = Math.max(1, endpoint.slots)
    const failureRate = health.getFailureRate(endpoint.id)
    const remoteWork = endpoint.dataCentre === dataCentre ? 0 : remoteWeight
    return {
      weight: slots * Math.max(minSuccessRate, 1 - failureRate) / Math.max(stayMs, longestStayMs / maxSpeedRatio),
      work: value / slots + failureRateWeight * failureRate + remoteWork + remoteWeight * random.next()
    }
  })
  return usable[chooseFromSample(candidates, countDraws(estimates), random)]
}

/** @returns a draw for each endpoint while nothing is known of their loads, and the more the newer the reports are */
const countDraws = (estimates: readonly LoadEstimate[]): number => {
  const unknown = estimates.reduce((sum, { confidence }) => sum + 1 - confidence, 0)
  return estimates.length / Math.max(minUnknownShare, unknown / estimates.length)
}
