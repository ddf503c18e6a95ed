/**
 * Estimates the rate at which one entry sends to one endpoint.
 *
 * Addresses dozens of entries that each send to an endpoint less than once between two of its reports: the work that one
 * entry has sent since the last report does not predict that of the others, but its mean rate over seconds does.
 */

/** Work sent to an endpoint. */
export interface SentWork {
  requests: number
  /** Memory for these requests, in tokens times layers. */
  tokenLayers: number
}

/** Time constant of the moving mean, in milliseconds; equals six reports, so that an entry that sends rarely has a rate too. */
const timeConstantMs = 2000

/** Exponential moving mean of the work that one entry sends to one endpoint. */
export class SendingRate {
  private requests = 0
  private tokenLayers = 0
  private updatedMs = -Infinity

  /**
   * Records one request.
   *
   * @param tokenLayers - its memory, in tokens times layers
   */
  record (tokenLayers: number, nowMs: number): void {
    this.decay(nowMs)
    this.requests++
    this.tokenLayers += tokenLayers
  }

  /** @returns expected work sent during a period, at the current rate */
  estimate (durationMs: number, nowMs: number): SentWork {
    this.decay(nowMs)
    const share = durationMs / timeConstantMs
    return { requests: this.requests * share, tokenLayers: this.tokenLayers * share }
  }

  private decay (nowMs: number): void {
    const factor = Math.exp((this.updatedMs - nowMs) / timeConstantMs)
    this.requests *= factor
    this.tokenLayers *= factor
    this.updatedMs = nowMs
  }
}
