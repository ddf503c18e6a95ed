/**
 * State and services shared by all calls of one entry.
 */
import type { Clock, Journal, Metrics, RandomSource } from '@clementineloft/kernel'
import { RetryWindow, StartLimit } from '@clementineloft/routing'
import type { CallEndpoint, RetryWindowOptions } from '@clementineloft/routing'
import { CallDirectory } from './call-directory.js'
import { CallPlacement } from './call-placement.js'
import type { CallProtocol } from './call-protocol.js'
import { CrashMonitor } from './crash-monitor.js'
import type { PathOrders } from './platform-ports.js'
import { RankAdmission } from './rank-admission.js'
import { EndpointExchanges } from './endpoint-exchange.js'
import type { RunningCall } from './running-call.js'
import { ServiceQueues } from './service-queues.js'

/** Minimum retry delay sent to a refused caller, in milliseconds. */
const minRetryAfterMs = 200
/** Span over which the retries of refused callers are spread, in milliseconds. */
const retryAfterSpreadMs = 400

/** Minimum time between two passes over the queues, in milliseconds; reports of a large fleet arrive far more often. */
const minPassIntervalMs = 40

/** Time between two checks for stalled streams, in milliseconds. */
const checkIntervalMs = 100

/** Shared context of the calls of one entry. */
export class ForwardingContext {
  readonly directory: CallDirectory
  readonly placement: CallPlacement
  readonly exchanges: EndpointExchanges
  readonly crashes: CrashMonitor
  readonly runs = new Set<RunningCall>()
  /** Queues of calls for which no capacity is free. */
  readonly queues: ServiceQueues
  readonly rankAdmission: RankAdmission
  private isResumeScheduled = false
  private lastPassMs = -Infinity
  private checkTimer: NodeJS.Timeout | undefined
  isLeaving = false
  /** Whether new streams are held back while first events are late. */
  limitsStarts = false
  private readonly retryWindows = new Map<string, RetryWindow>()
  private readonly startLimits = new Map<string, StartLimit>()
  /** Start of this process, in milliseconds of the clock. */
  private readonly startMs: number

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
    this.startMs = clock.now()
    this.directory = new CallDirectory(clock)
    this.placement = new CallPlacement(this.directory, dataCentre, random, clock)
    this.exchanges = new EndpointExchanges(clock)
    this.crashes = new CrashMonitor(clock, journal, metrics)
    this.queues = new ServiceQueues(clock, metrics, random)
    this.rankAdmission = new RankAdmission(clock, random, journal, metrics, this.directory, {
      listWaiting: () => this.queues.listAll(), listRuns: () => this.runs
    })
    metrics.registerGauge('calls_in_flight', () => this.runs.size)
  }

  /** @returns the retry budget of a service */
  getRetryWindow (service: string): RetryWindow {
    const known = this.retryWindows.get(service)
    if (known !== undefined) return known
    const window = new RetryWindow(this.clock, this.retryOptions, () => this.directory.costs.countEntries(), this.startMs)
    this.retryWindows.set(service, window)
    return window
  }

  /** @returns the limit on calls of a service that wait for their first event */
  getStartLimit (service: string): StartLimit {
    const known = this.startLimits.get(service)
    if (known !== undefined) return known
    const limit = new StartLimit(this.clock, this.random, (isInEffect) => {
      this.journal.record({ name: isInEffect ? 'start-limit-on' : 'start-limit-off', data: { service, starting: limit.count() } })
    })
    this.startLimits.set(service, limit)
    this.metrics.registerGauge(`calls_starting{service="${service}"}`, () => limit.count())
    return limit
  }

  /** @returns retry delay for a refused caller, in milliseconds; randomized so that callers do not retry all at once */
  getRetryAfterMs (): number {
    return minRetryAfterMs + this.random.next() * retryAfterSpreadMs
  }

  /** Removes a call that has ended. */
  release (run: RunningCall): void {
    this.runs.delete(run)
    this.queues.remove(run)
    this.resumeWaiting()
  }

  /** Records that an endpoint has said in an answer that it leaves: it gets no new calls, and streams move off it. */
  recordLeaving (endpoint: CallEndpoint): void {
    if (this.directory.recordLeaving(endpoint)) this.notifyLeaving(endpoint, 'marked as leaving in an answer')
  }

  /** Moves streams off an endpoint that takes no new calls any more. */
  notifyLeaving (endpoint: CallEndpoint, detail: string): void {
    this.journal.record({ name: 'endpoint-left', endpoint: endpoint.address, detail })
    for (const run of [...this.runs]) run.failover?.handleLeavingEndpoint(endpoint)
  }

  /** Schedules one pass over the queues, which serves all requests made until then. */
  resumeWaiting (): void {
    if (this.isResumeScheduled || !this.queues.hasWaiting()) return
    this.isResumeScheduled = true
    const delayMs = Math.max(0, this.lastPassMs + minPassIntervalMs - this.clock.now())
    this.clock.schedule(delayMs, () => {
      this.isResumeScheduled = false
      this.startWaiting()
    })
  }

  /** Starts the periodic checks for stalled streams and expired queued calls. */
  startChecks (): void {
    this.checkTimer = setInterval(() => { this.checkRuns() }, checkIntervalMs)
  }

  /** Stops the periodic checks and closes the connections to endpoints. */
  close (): void {
    clearInterval(this.checkTimer)
    this.exchanges.close()
  }

  private checkRuns (): void {
    this.rankAdmission.observe()
    if (this.queues.hasWaiting()) this.startWaiting()
    const nowMs = this.clock.now()
    for (const { failover } of [...this.runs]) {
      if (failover?.isStalled(nowMs) === true) failover.handleStall()
    }
  }

  /** Rejects queued calls that have expired, and starts those for which capacity is free. */
  startWaiting (): void {
    this.lastPassMs = this.clock.now()
    this.queues.startWaiting()
  }
}
