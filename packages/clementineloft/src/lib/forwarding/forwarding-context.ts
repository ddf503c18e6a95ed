/**
 * What all calls of one entry share.
 */
import type { Clock, Journal, Metrics, RandomSource } from '@clementineloft/kernel'
import { RetryWindow, WaitingLine } from '@clementineloft/routing'
import type { RetryWindowOptions } from '@clementineloft/routing'
import { CallDirectory } from './call-directory.js'
import { CallPlacement } from './call-placement.js'
import type { CallProtocol } from './call-protocol.js'
import type { CallRun } from './call-run.js'
import type { PathOrders } from './platform-ports.js'
import { EndpointExchanges } from './endpoint-exchange.js'

/** Earliest time at which a refused caller should come back, in milliseconds. */
const minRetryAfterMs = 200
/** Width of the span over which refused callers are spread, in milliseconds. */
const retryAfterSpreadMs = 400

/** Time between two looks for streams that have stopped, in milliseconds. */
const checkIntervalMs = 100

/** Calls for which no place is found before the search ends; a smaller one may fit where the first does not. */
const maxPlacementMisses = 3

/** Parts of one entry. */
export class ForwardingContext {
  readonly directory: CallDirectory
  readonly placement: CallPlacement
  readonly exchanges: EndpointExchanges
  readonly runs = new Set<CallRun>()
  /** Calls that wait for a place. */
  readonly waitingCalls: WaitingLine<CallRun>
  private isResumeScheduled = false
  private checkTimer: NodeJS.Timeout | undefined
  isLeaving = false
  private readonly retryWindows = new Map<string, RetryWindow>()

  constructor (
    readonly protocol: CallProtocol,
    readonly pathOrders: PathOrders,
    readonly clock: Clock,
    readonly random: RandomSource,
    readonly journal: Journal,
    readonly metrics: Metrics,
    dataCentre: string,
    private readonly retryOptions: RetryWindowOptions
  ) {
    this.directory = new CallDirectory(clock)
    this.placement = new CallPlacement(this.directory, dataCentre, random)
    this.exchanges = new EndpointExchanges(clock)
    this.waitingCalls = new WaitingLine(clock)
    metrics.registerGauge('calls_in_flight', () => this.runs.size)
  }

  /** @returns the retry budget of a service */
  getRetryWindow (service: string): RetryWindow {
    const known = this.retryWindows.get(service)
    if (known !== undefined) return known
    const window = new RetryWindow(this.clock, this.retryOptions, () => this.directory.costs.countEntries())
    this.retryWindows.set(service, window)
    return window
  }

  /** @returns when a refused caller should come back, in milliseconds; spread so that callers do not return together */
  getRetryAfterMs (): number {
    return minRetryAfterMs + this.random.next() * retryAfterSpreadMs
  }

  /** Forgets a call that is over. */
  release (run: CallRun): void {
    this.runs.delete(run)
    this.waitingCalls.remove(run)
    this.resumeWaiting()
  }

  /** Lets waiting calls look for a place, once for all events of this turn of the loop. */
  resumeWaiting (): void {
    if (this.isResumeScheduled || this.waitingCalls.getLength() === 0) return
    this.isResumeScheduled = true
    setImmediate(() => {
      this.isResumeScheduled = false
      this.startWaiting()
    })
  }

  /** Looks at regular times for streams that have stopped and for calls that have waited too long. */
  startChecks (): void {
    this.checkTimer = setInterval(() => { this.checkRuns() }, checkIntervalMs)
  }

  /** Ends the regular checks and closes connections to endpoints. */
  close (): void {
    clearInterval(this.checkTimer)
    this.exchanges.close()
  }

  private checkRuns (): void {
    if (this.waitingCalls.getLength() > 0) this.startWaiting()
    const nowMs = this.clock.now()
    for (const { failover } of [...this.runs]) {
      if (failover?.isStalled(nowMs) === true) failover.handleStall()
    }
  }

  /** Starts the waiting calls for which there is a place, and ends those that have waited too long. */
  startWaiting (): void {
    for (const run of this.waitingCalls.takeExpired()) run.rejectExpired()
    let misses = 0
    for (const run of this.waitingCalls.list()) {
      if (misses >= maxPlacementMisses) return
      if (!run.startFromQueue()) misses++
    }
  }
}
