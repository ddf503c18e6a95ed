/**
 * Evidence for and against one call when an endpoint ends under it.
 */
import type { Clock } from '@clementineloft/kernel'
import type { CallEndpoint } from '@clementineloft/routing'
import type { CrashMonitor } from './crash-monitor.js'

/**
 * Time after the first event from which the call has not crashed its endpoint, in milliseconds: one that crashes an endpoint
 * does so as its answer begins.
 */
const proofMs = 200

/** Collects the evidence over all attempts of one call. */
export class CrashEvidence {
  private firstEventMs: number | undefined
  private hasProof = false

  /** @param traits - traits of the call */
  constructor (
    private readonly monitor: CrashMonitor,
    private readonly clock: Clock,
    private readonly traits: readonly string[]
  ) {}

  /** Records that events of a stream have arrived. */
  recordEvents (): void {
    const nowMs = this.clock.now()
    this.firstEventMs ??= nowMs
    if (!this.hasProof && nowMs - this.firstEventMs >= proofMs) this.recordAnswer()
  }

  /** Records that an endpoint has answered the call and goes on. */
  recordAnswer (): void {
    this.hasProof = true
    this.monitor.recordAnswer(this.traits)
  }

  /**
   * Records that an attempt has lost its endpoint.
   *
   * @param sentMs - when the call was sent there, in milliseconds of the clock
   * @param isBeginning - whether the endpoint was beginning to answer
   * @returns a promise that resolves once it is known whether the endpoint has ended
   */
  async recordLoss (endpoint: CallEndpoint, sentMs: number, isBeginning: boolean): Promise<void> {
    if (this.hasProof) return
    await this.monitor.recordLoss({ traits: this.traits, endpoint, sentMs, isBeginning })
  }

  /**
   * Records that the call leaves endpoints, so that a crash there that shows later can be held against it.
   *
   * @param sentMs - when the call was sent there, in milliseconds of the clock
   */
  recordDeparture (endpoints: readonly CallEndpoint[], sentMs: number): void {
    if (!this.hasProof) this.monitor.recordVisit({ traits: this.traits, endpoints, sentMs })
  }

  /** @returns whether the call is refused, or must end if it is in progress */
  isAgainstCall (): boolean {
    return this.computeRefusalMs() > 0
  }

  /** @returns time for which the call is refused, in milliseconds; 0 if it is not */
  computeRefusalMs (): number {
    return this.hasProof ? 0 : this.monitor.computeRefusalMs(this.traits)
  }
}
