/**
 * The wait of one call for capacity: how long it is expected to take, and how long it may take.
 */
import { computeRetryDelay, computeWaitLimit, estimateLoad } from '@clementineloft/routing'
import type { AdmittedCall } from './admitted-call.js'
import type { CallProgress } from './call-progress.js'
import type { CallStart } from './call-start.js'
import type { ForwardingContext } from './forwarding-context.js'
import type { RunningCall } from './running-call.js'

/** Estimates and limits the wait of one call. */
export class CallWaiting {
  private hasAnswered = false

  constructor (
    private readonly context: ForwardingContext,
    private readonly admittedCall: AdmittedCall,
    private readonly progress: CallProgress,
    private readonly callStart: CallStart,
    private readonly deadlineMs: number
  ) {}

  /** @returns expected time until an endpoint may take the call, in milliseconds */
  estimateWait (call: RunningCall): number {
    const { queues, placement } = this.context
    return Math.max(queues.get(call.service).estimateWait(call), placement.getPauseMs(call.service))
  }

  /**
   * Books the time at which the caller of a refused call should return. Without a known rate of starts, such as for plain
   * services, callers are spread over the expected time itself.
   *
   * @param isUncovered - whether layers or endpoints are missing, rather than free capacity
   * @returns delay before the retry, in milliseconds
   */
  bookRetry (call: RunningCall, isUncovered: boolean): number {
    const { clock, random, queues } = this.context
    const remainingMs = this.deadlineMs - clock.now()
    const waitMs = this.estimateWait(call)
    const intervalMs = queues.get(call.service).getInterval(call.rank)
    if (!isUncovered && intervalMs !== undefined) {
      return queues.getRetrySlots(call.service).book({ rank: call.rank, waitMs, intervalMs, remainingMs })
    }
    const freeMs = isUncovered ? this.estimateLoad() : this.admittedCall.route.objectiveMs
    const expectedMs = freeMs === undefined ? undefined : freeMs + waitMs
    return computeRetryDelay({ remainingMs, expectedMs, spreadMs: expectedMs ?? 0 }, random)
  }

  /** @returns time until which the call must be placed, in milliseconds of the clock; it may have passed */
  computeLimit (): number {
    const { route: { isStream, objectiveMs }, service } = this.admittedCall
    const waitingSinceMs = this.progress.getWaitingSinceMs()
    const answerMs = this.context.queues.getAnswerTime(service, isStream).get()
    const limitMs = computeWaitLimit({ isStream, waitingSinceMs, deadlineMs: this.deadlineMs, objectiveMs, answerMs })
    return Math.min(limitMs, waitingSinceMs + this.callStart.getMaxWaitMs())
  }

  /** Records that the caller has the first event of a stream, or a whole answer, since the call was last sent. */
  recordAnswer (): void {
    if (this.hasAnswered) return
    this.hasAnswered = true
    const { route, service } = this.admittedCall
    this.context.queues.getAnswerTime(service, route.isStream).record(this.context.clock.now() - this.progress.lastProgressMs)
  }

  /** @returns expected time until missing layers are loaded, in milliseconds; `undefined` for a plain service */
  private estimateLoad (): number | undefined {
    const { directory } = this.context
    const { service } = this.admittedCall
    const engine = directory.findEngine(service)
    if (engine === undefined) return undefined
    const spans = directory.list(service).flatMap((endpoint) => directory.findLayers(endpoint) ?? [])
    return estimateLoad(engine.loadMs, spans.map(({ from, to }) => (to - from) / engine.layers))
  }
}
