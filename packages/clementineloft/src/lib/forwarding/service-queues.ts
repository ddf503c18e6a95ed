/**
 * The queues of one entry, one for each service.
 */
import type { Clock, Metrics, RandomSource } from '@clementineloft/kernel'
import { AnswerTime, RetrySlots, StartPass, WaitingQueue } from '@clementineloft/routing'
import type { RunningCall } from './running-call.js'

/** Queues of waiting calls, by service. */
export class ServiceQueues {
  private readonly queues = new Map<string, WaitingQueue<RunningCall>>()
  private readonly answerTimes = new Map<string, AnswerTime>()
  private readonly retrySlots = new Map<string, RetrySlots>()
  private readonly gauges = new Set<string>()

  constructor (
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly random: RandomSource
  ) {}

  /** @returns the queue of a service */
  get (service: string): WaitingQueue<RunningCall> {
    const known = this.queues.get(service)
    if (known !== undefined) return known
    const queue = new WaitingQueue<RunningCall>(this.clock)
    this.queues.set(service, queue)
    return queue
  }

  /** @returns time to the first event of streams of a service, or to whole answers */
  getAnswerTime (service: string, isStream: boolean): AnswerTime {
    const key = `${isStream ? 'stream' : 'whole'} ${service}`
    const known = this.answerTimes.get(key)
    if (known !== undefined) return known
    const time = new AnswerTime()
    this.answerTimes.set(key, time)
    return time
  }

  /** @returns times of return of the callers that were refused for lack of capacity */
  getRetrySlots (service: string): RetrySlots {
    const known = this.retrySlots.get(service)
    if (known !== undefined) return known
    const slots = new RetrySlots(this.clock, this.random)
    this.retrySlots.set(service, slots)
    return slots
  }

  /** @returns the waiting calls of all services, in no particular order */
  listAll (): RunningCall[] {
    return [...this.queues.values()].flatMap((queue) => queue.listByArrival())
  }

  /** @returns whether a call waits for any service */
  hasWaiting (): boolean {
    return [...this.queues.values()].some((queue) => queue.getLength() > 0)
  }

  /** Adds a call to the queue of its service, and the gauge of its rank to the metrics. */
  add (run: RunningCall): void {
    const { service, rank } = run
    const queue = this.get(service)
    queue.add(run)
    const gauge = `calls_waiting{service="${service}",rank="${rank}"}`
    if (this.gauges.has(gauge)) return
    this.gauges.add(gauge)
    this.metrics.registerGauge(gauge, () => queue.count(rank))
  }

  /** Removes a call that no longer waits. */
  remove (run: RunningCall): void {
    this.queues.get(run.service)?.remove(run)
  }

  /** Rejects expired calls, and starts waiting calls for which capacity is free. */
  startWaiting (): void {
    for (const queue of this.queues.values()) {
      for (const run of queue.takeExpired()) run.rejectExpired()
      new StartPass<RunningCall>().run(queue.list(), (run) => run.startFromQueue())
    }
  }

  /**
   * Starts the waiting calls that go before an arriving one and for which capacity is free.
   *
   * @returns whether the arriving call may start now, since none of those that still wait could use the capacity
   */
  startBefore (arriving: RunningCall): boolean {
    const queue = this.queues.get(arriving.service)
    if (queue === undefined || queue.getLength() === 0) return true
    const nowMs = this.clock.now()
    const before = queue.listBefore(arriving).filter(({ untilMs }) => untilMs > nowMs)
    const pass = new StartPass<RunningCall>()
    pass.run(queue.list(before), (run) => run.startFromQueue())
    return pass.canOvertake(arriving.need, before.filter((run) => queue.has(run)))
  }
}
