/**
 * Why an entry refuses a forwarded call. The values are labels of the counter `call_refusals_total`.
 */
export const RefusalReason = {
  /** Layers or endpoints are missing. */
  uncovered: 'uncovered',
  /** All endpoints are full, and the expected wait is longer than the call may wait. */
  expectedWait: 'expected-wait',
  /** The call has waited as long as it may. */
  waitEnded: 'wait-ended',
  /** The deadline has passed. */
  deadline: 'deadline',
  /** The process stops. */
  stopping: 'stopping',
  /** Calls with the same content have crashed endpoints. */
  quarantined: 'quarantined',
  /** Endpoints have refused the call, and no attempt is left. */
  attemptsEnded: 'attempts-ended'
} as const
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]
