/**
 * Journal of one call: adds its identity, team, route and age to each of its events.
 */
import type { Clock, Journal } from '@clementineloft/kernel'
import type { AdmittedCall } from './admitted-call.js'

/** Fields of an event of a call. */
export type CallEventData = Record<string, string | number | boolean>

/** Records the events of one call. */
export class CallJournal {
  constructor (
    private readonly journal: Journal,
    private readonly clock: Clock,
    private readonly admittedCall: AdmittedCall
  ) {}

  /** Records an event. */
  record (name: string, data: CallEventData): void {
    const { call, team, route, arrivedMs } = this.admittedCall
    const tookMs = Math.round(this.clock.now() - arrivedMs)
    this.journal.record({
      name, request: call.id, ...(team === undefined ? {} : { team }), data: { ...data, route: route.name, tookMs }
    })
  }
}
