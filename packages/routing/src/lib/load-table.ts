/**
 * The load of endpoints as known to one entry: the last report, which arrives with an answer, and the requests sent
 * since then.
 */

interface EndpointLoad {
  reported: number
  sentSinceReport: number
  inFlight: number
}

/** Estimates the load of each endpoint from its reports and from the requests that this entry has sent. */
export class LoadTable {
  private readonly loads = new Map<string, EndpointLoad>()

  /**
   * Records that a request was sent to an endpoint.
   *
   * @param endpoint - name of the endpoint
   */
  recordStart (endpoint: string): void {
    const load = this.getLoad(endpoint)
    load.inFlight++
    load.sentSinceReport++
  }

  /**
   * Records that a request at an endpoint has ended, with or without a report of the endpoint.
   *
   * @param endpoint - name of the endpoint
   */
  recordEnd (endpoint: string): void {
    const load = this.getLoad(endpoint)
    load.inFlight = Math.max(0, load.inFlight - 1)
    load.sentSinceReport = Math.min(load.sentSinceReport, load.inFlight)
  }

  /**
   * Records an endpoint's report of its own load.
   *
   * @param endpoint - name of the endpoint
   * @param reported - number of requests that it holds, from all entries
   */
  recordReport (endpoint: string, reported: number): void {
    const load = this.getLoad(endpoint)
    load.reported = reported
    load.sentSinceReport = 0
  }

  /** @returns estimated number of requests that the endpoint holds; 0 if the endpoint is unknown */
  estimate (endpoint: string): number {
    const load = this.loads.get(endpoint)
    if (load === undefined) return 0
    return Math.max(load.inFlight, load.reported + load.sentSinceReport)
  }

  /**
   * Removes the load of endpoints that no longer exist.
   *
   * @param names - names of the endpoints to keep
   */
  retain (names: ReadonlySet<string>): void {
    for (const name of this.loads.keys()) {
      if (!names.has(name)) this.loads.delete(name)
    }
  }

  private getLoad (endpoint: string): EndpointLoad {
    const existing = this.loads.get(endpoint)
    if (existing !== undefined) return existing
    const load = { reported: 0, sentSinceReport: 0, inFlight: 0 }
    this.loads.set(endpoint, load)
    return load
  }
}
