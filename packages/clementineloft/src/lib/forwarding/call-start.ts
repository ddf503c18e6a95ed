/**
 * The start of one stream, from sending its call to its first event, as the limit on starting calls counts it.
 */
import type { StartingCall } from '@clementineloft/routing'
import type { AdmittedCall } from './admitted-call.js'
import type { CallProgress } from './call-progress.js'
import type { ForwardingContext } from './forwarding-context.js'

/** Asks and informs the limit on starting calls; calls without a stream, and calls that were sent before, do not count. */
export class CallStart {
  private starting: StartingCall | undefined
  private hasBeenSent = false

  constructor (
    private readonly context: ForwardingContext,
    private readonly admittedCall: AdmittedCall,
    private readonly progress: CallProgress
  ) {}

  /** @returns whether the call may be sent now */
  canStart (): boolean {
    const { route, service } = this.admittedCall
    return !this.isLimited() || this.context.getStartLimit(service).canStart(route.objectiveMs)
  }

  /** @returns how long the call may wait in the entry, in milliseconds */
  getMaxWaitMs (): number {
    const { route, service } = this.admittedCall
    return this.isLimited() ? this.context.getStartLimit(service).getMaxWaitMs(route.objectiveMs) : Infinity
  }

  /** Records that the call was sent. */
  recordSend (): void {
    const { route, service } = this.admittedCall
    const isLimited = this.isLimited()
    this.hasBeenSent = true
    if (isLimited) this.starting = this.context.getStartLimit(service).recordSend(route.objectiveMs)
  }

  /** Records events of the stream; the first ones let a waiting call start. */
  recordEvents (): void {
    if (this.starting === undefined) return
    this.context.getStartLimit(this.admittedCall.service).recordFirstEvent(this.starting)
    this.starting = undefined
    this.context.resumeWaiting()
  }

  /** Records that the attempt has ended, with or without an event. */
  recordEnd (): void {
    if (this.starting !== undefined) this.context.getStartLimit(this.admittedCall.service).recordEnd(this.starting)
    this.starting = undefined
  }

  private isLimited (): boolean {
    return this.context.limitsStarts && this.admittedCall.route.isStream && this.progress.events === 0 && !this.hasBeenSent
  }
}
