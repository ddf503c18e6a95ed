/**
 * Remembers which requests could not be placed, so that a search that must fail is not made again.
 *
 * Addresses a full fleet with calls queued at every entry: each of the hundreds of reports a second would otherwise start
 * a search for every queued call, exactly while the entries are busiest. A request at least as large as one that failed
 * fails as well, until an endpoint may take more than before.
 */
import type { Clock } from '@clementineloft/kernel'

/** Time after which a failure is forgotten, in milliseconds: exclusions of unhealthy endpoints end without any message. */
const maxAgeMs = 100

interface FailedSearch {
  capacityVersion: number
  promptTokens: number
  failedMs: number
}

/** Failed searches of one entry, by service. */
export class PlacementMemo {
  private readonly failures = new Map<string, FailedSearch>()

  constructor (private readonly clock: Clock) {}

  /**
   * Records that no path was found for a request that may use all endpoints.
   *
   * @param capacityVersion - changes whenever an endpoint may take more than before
   */
  recordFailure (service: string, promptTokens: number, capacityVersion: number): void {
    this.failures.set(service, { capacityVersion, promptTokens, failedMs: this.clock.now() })
  }

  /** @returns whether a search for the request, or for a smaller one, has failed and would fail again */
  hasFailed (service: string, promptTokens: number, capacityVersion: number): boolean {
    const failure = this.failures.get(service)
    if (failure === undefined || failure.capacityVersion !== capacityVersion) return false
    return promptTokens >= failure.promptTokens && this.clock.now() - failure.failedMs < maxAgeMs
  }
}
