/**
 * How fast one entry sends to one endpoint.
 *
 * Answers the load pattern of dozens of entries that each send to an endpoint less than once between two of its reports:
 * what one of them has sent since the last report says nothing of the others, its mean over seconds does.
 */

/** Work that was sent. */
export interface SentWork {
  requests: number
  /** Memory for these requests, in tokens times layers. */
  tokenLayers: number
}

/** Time after which work sent counts 1/e, in milliseconds: six reports, so that an entry that sends seldom has a rate too. */
const meanLifeMs = 2000

/** Moving mean of what one entry sends to one endpoint. */
export class SendingRate {
  private requests = 0
  private tokenLayers = 0
  private updatedMs = -Infinity

  /**
   * Notes one request.
   *
   * @param tokenLayers - its memory, in tokens times layers
   */
  record (tokenLayers: number, nowMs: number): void {
    this.decay(nowMs)
    this.requests++
    this.tokenLayers += tokenLayers
  }

  /** @returns work that is expected to be sent in a time, at the present rate */
  estimate (durationMs: number, nowMs: number): SentWork {
    this.decay(nowMs)
    const share = durationMs / meanLifeMs
    return { requests: this.requests * share, tokenLayers: this.tokenLayers * share }
  }

  private decay (nowMs: number): void {
    const factor = Math.exp((this.updatedMs - nowMs) / meanLifeMs)
    this.requests *= factor
    this.tokenLayers *= factor
    this.updatedMs = nowMs
  }
}
