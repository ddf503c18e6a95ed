/**
 * Limits how many calls of one entry wait at model endpoints for their first event.
 *
 * Addresses a fleet that has lost endpoints, or whose links are saturated, at the peak of demand: memory and slots are still
 * free, so that every call is sent, but prompts queue at the endpoints until all callers leave before their first event. While first events are late, the entry keeps no more calls waiting than the endpoints begin
 * in half an objective (Little's law, from the rate at which its own calls begin). Calls beyond that wait in the entry,
 * where rank and team decide, or are refused at once. Each entry adapts on its own, without messages.
 */
import type { Clock, RandomSource } from '@clementineloft/kernel'

/** Share of late first events in a period at which the limit takes effect. */
const maxLateRatio = 0.25
/** Minimum number of first events in a period; a single slow path is no evidence of saturation. */
const minSamples = 4
/** Number of periods in time, without calls held back, after which the limit has no effect any more. */
const inTimePeriods = 6
/** Fraction of the objective that calls may spend in the queues of endpoints; the rest is for the work itself. */
const queueTimeRatio = 0.5
/** Time constant of the rate at which calls begin, in milliseconds; the limit follows the load within a second. */
const rateTimeConstantMs = 1000
/** Lower bound of the limit, so that an entry always notices when endpoints become faster. */
const minLimit = 1

/** A call that has been sent and has no event yet. */
export interface StartingCall {
  readonly sentMs: number
  /** Time within which its first event is in time, in milliseconds. */
  readonly objectiveMs: number
  /** Whether it is already counted as late. */
  isLate: boolean
}

/** Adaptive limit of one entry for one service. */
export class StartLimit {
  private readonly starting = new Set<StartingCall>()
  private isInEffect = false
  /** Exponentially decayed number of first events, and when it was last updated, in milliseconds of the clock. */
  private begun = 0
  private begunUpdatedMs: number
  private samples = 0
  private lateSamples = 0
  private hasHeldBack = false
  /** Random fraction of a call, drawn anew with each start, so that a limit of 1.5 lets 1.5 calls wait in the mean. */
  private draw: number
  private inTimePeriodCount = 0
  private periodStartMs: number

  /** @param handleChange - called when the limit takes effect, and when it has no effect any more */
  constructor (
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly handleChange: (isInEffect: boolean) => void = () => {}
  ) {
    this.draw = random.next()
    this.begunUpdatedMs = clock.now()
    this.periodStartMs = clock.now()
  }

  /** @param objectiveMs - time to the first event that the caller expects, in milliseconds @returns whether the call may be sent now */
  canStart (objectiveMs: number): boolean {
    this.markLate()
    if (!this.isInEffect) return true
    const isFree = this.countWaiting() + this.draw < this.getLimit(objectiveMs)
    if (!isFree) this.hasHeldBack = true
    return isFree
  }

  /** @returns number of calls that may wait for their first event; `Infinity` while first events are in time */
  getLimit (objectiveMs: number): number {
    if (!this.isInEffect) return Infinity
    this.decay()
    return Math.max(minLimit, this.begun / rateTimeConstantMs * objectiveMs * queueTimeRatio)
  }

  /**
   * @returns time for which a new call may wait in the entry, in milliseconds; `Infinity` while first events are in time.
   *   Later, its first event would be late too, and it would take the place of a call that can still be in time.
   */
  getMaxWaitMs (objectiveMs: number): number {
    return this.isInEffect ? objectiveMs * queueTimeRatio : Infinity
  }

  /** @returns number of calls that have no event yet, whatever their age */
  count (): number {
    return this.starting.size
  }

  /** Records that a call was sent. */
  recordSend (objectiveMs: number): StartingCall {
    const call = { sentMs: this.clock.now(), objectiveMs, isLate: false }
    this.starting.add(call)
    this.draw = this.random.next()
    return call
  }

  /** Records the first event of a call. */
  recordFirstEvent (call: StartingCall): void {
    if (!this.starting.delete(call)) return
    this.decay()
    this.begun++
    if (!call.isLate) this.recordSample(this.clock.now() - call.sentMs > call.objectiveMs, call.objectiveMs)
  }

  /** Records that a call has ended, or left its endpoint, without an event; says nothing of the time to the first event. */
  recordEnd (call: StartingCall): void {
    this.starting.delete(call)
  }

  /** Counts calls that have waited for longer than their objective as late before their first event arrives. */
  private markLate (): void {
    const nowMs = this.clock.now()
    for (const call of this.starting) {
      if (call.isLate || nowMs - call.sentMs <= call.objectiveMs) continue
      call.isLate = true
      this.recordSample(true, call.objectiveMs)
    }
  }

  /** Leaves out calls that have been late for long: their path has stalled, and says nothing of the others. */
  private countWaiting (): number {
    const nowMs = this.clock.now()
    let count = 0
    for (const { sentMs, objectiveMs } of this.starting) {
      if (nowMs - sentMs < 2 * objectiveMs) count++
    }
    return count
  }

  private decay (): void {
    const nowMs = this.clock.now()
    this.begun *= Math.exp((this.begunUpdatedMs - nowMs) / rateTimeConstantMs)
    this.begunUpdatedMs = nowMs
  }

  private recordSample (isLate: boolean, periodMs: number): void {
    this.samples++
    if (isLate) this.lateSamples++
    if (this.samples >= minSamples && this.clock.now() - this.periodStartMs >= periodMs) this.endPeriod()
  }

  private endPeriod (): void {
    const isLate = this.lateSamples > this.samples * maxLateRatio
    this.inTimePeriodCount = isLate || this.hasHeldBack ? 0 : this.inTimePeriodCount + 1
    if (isLate) this.setInEffect(true)
    else if (this.inTimePeriodCount >= inTimePeriods) this.setInEffect(false)
    this.samples = 0
    this.lateSamples = 0
    this.hasHeldBack = false
    this.periodStartMs = this.clock.now()
  }

  private setInEffect (isInEffect: boolean): void {
    if (isInEffect === this.isInEffect) return
    this.isInEffect = isInEffect
    this.handleChange(isInEffect)
  }
}
