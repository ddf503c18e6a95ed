/**
 * Selects one incarnation of each endpoint from the platform's list.
 *
 * Addresses endpoints that restart: the list names the ended incarnation beside the new one until its heartbeats have been
 * missing for a while. A path with both names one address twice, and the endpoint refuses it.
 */
import type { CallEndpoint } from './call-endpoint.js'

/** @returns the endpoints without those that a later incarnation at the same address of their service has replaced */
export const selectLatestIncarnations = (endpoints: readonly CallEndpoint[]): CallEndpoint[] => {
  const latest = new Map<string, CallEndpoint>()
  for (const endpoint of endpoints) {
    const key = `${endpoint.service} ${endpoint.address}`
    const known = latest.get(key)
    if (known === undefined || endpoint.bornMs >= known.bornMs) latest.set(key, endpoint)
  }
  return [...latest.values()]
}
