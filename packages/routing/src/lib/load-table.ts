/**
 * What one entry knows of the load of endpoints: the last report that rode on an answer, and what it has sent since.
 */

interface EndpointLoad {
  reported: number
  sentSinceReport: number
  inFlight: number
}

/** Load of endpoints as seen from one entry. */
export class LoadTable {
  private readonly loads = new Map<string, EndpointLoad>()

  /**
   * Notes that a request was sent to an endpoint.
   *
   * @param endpoint - name of the endpoint
   */
  recordStart (endpoint: string): void {
    const load = this.getLoad(endpoint)
    load.inFlight++
    load.sentSinceReport++
  }

  /**
   * Notes that a request at an endpoint has ended.
   *
   * @param endpoint - name of the endpoint
   */
  recordEnd (endpoint: string): void {
    const load = this.getLoad(endpoint)
    load.inFlight = Math.max(0, load.inFlight - 1)
  }

  /**
   * Notes an endpoint's own report.
   *
   * @param endpoint - name of the endpoint
   * @param reported - requests that it holds, from all entries
   */
  recordReport (endpoint: string, reported: number): void {
    const load = this.getLoad(endpoint)
    load.reported = reported
    load.sentSinceReport = 0
  }

  /** @returns estimate of the requests that the endpoint holds */
  estimate (endpoint: string): number {
    const load = this.loads.get(endpoint)
    if (load === undefined) return 0
    return Math.max(load.inFlight, load.reported + load.sentSinceReport)
  }

  /** @param names - endpoints that still exist; all others are forgotten */
  retain (names: ReadonlySet<string>): void {
    for (const name of this.loads.keys()) {
      if (!names.has(name)) this.loads.delete(name)
    }
  }

  private getLoad (endpoint: string): EndpointLoad {
    const known = this.loads.get(endpoint)
    if (known !== undefined) return known
    const load = { reported: 0, sentSinceReport: 0, inFlight: 0 }
    this.loads.set(endpoint, load)
    return load
  }
}
