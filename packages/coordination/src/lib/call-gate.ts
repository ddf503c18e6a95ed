/**
 * Admission of calls to one endpoint of a plain service: decides for each call whether it may start.
 *
 * A non-idempotent call starts at most once, also when it is retried or its answer is lost. A repeat of a running call
 * waits for that call, and a repeat of a finished call gets the same answer.
 */
import { createError, ErrorKind, getErrorOutcome, KindError, Outcome } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import type { ClaimRange } from './claim-range.js'
import type { ClaimEntry } from './claim-records.js'
import { parseTicket } from './ticket-issuer.js'
import type { TicketIssuer } from './ticket-issuer.js'

/** The properties of a call that decide whether it may start. */
export interface GuardedCall {
  /** Identity that the entry assigned to this call; {@link CallGate.resolve} takes the same one. */
  request: string
  /** Scope of the key: service and team. */
  scope: string
  /** The idempotency key; empty for none. */
  key: string
  /** Digest of method, path and body. */
  fingerprint: string
  isIdempotent: boolean
}

/** Runs calls. An error with outcome `not-run` guarantees that the service did not receive the call. */
export abstract class CallRunner<Call extends GuardedCall, Answer> {
  abstract run (call: Call): Promise<Answer>
}

/** Finds the key range that a call's key belongs to. If it throws, the call does not run. */
export type FindRange<Call, Answer> = (call: Call, scopedKey: string) => ClaimRange<Answer>

interface CallRecord<Answer> {
  fingerprint: string
  /** Whether the call has been passed to the service. */
  isStarted: boolean
  /** Whether the call was cancelled before it started; it then never starts. */
  isCancelled: boolean
  result: Promise<Answer>
}

/** Reports a key that another process has claimed without having recorded an answer. */
export class ClaimedElsewhereError extends KindError {
  /** Endpoint that claimed the key. */
  readonly holder: string
  /** Process that claimed the key and may have its answer. */
  readonly incarnation: string

  constructor (key: string, entry: ClaimEntry<unknown>) {
    const message = `idempotency key "${key}" was claimed by "${entry.holder}", which has not recorded an answer`
    super(ErrorKind.outcomeUnknown, message, { outcome: Outcome.unknown })
    this.holder = entry.holder
    this.incarnation = entry.incarnation
  }
}

/** Admits calls to one endpoint of a plain service. */
export class CallGate<Call extends GuardedCall, Answer> {
  private readonly records = new Map<string, CallRecord<Answer>>()
  private readonly tombstones = new Set<string>()
  private isLeaving = false

  /**
   * @param endpoint - name of the endpoint
   * @param runner - passes admitted calls to the service
   * @param findRange - finds the range in which a key is claimed
   * @param tickets - issuer of the tickets of this process
   * @param retentionMs - time for which calls and cancellations are retained, in milliseconds
   */
  constructor (
    private readonly endpoint: string,
    private readonly runner: CallRunner<Call, Answer>,
    private readonly findRange: FindRange<Call, Answer>,
    private readonly tickets: TicketIssuer,
    private readonly clock: Clock,
    private readonly retentionMs: number
  ) {}

  /** @param isLeaving - whether new calls are refused; calls that were admitted before continue */
  setLeaving (isLeaving: boolean): void {
    this.isLeaving = isLeaving
  }

  /** @returns number of retained call records */
  countRecords (): number {
    return this.records.size
  }

  /**
   * Runs a call, or returns the answer of the call that it repeats.
   *
   * @param call - the call
   * @returns the answer of the service
   * @throws an error whose outcome tells whether the call may have run
   */
  async handle (call: Call): Promise<Answer> {
    if (this.tombstones.has(call.request)) {
      throw createError(ErrorKind.superseded, `call "${call.request}" was cancelled before it arrived`)
    }
    const recordKey = this.getRecordKey(call)
    const existing = this.records.get(recordKey)
    if (existing !== undefined && !existing.isCancelled) return await this.repeat(existing, call)
    if (this.isLeaving) throw createError(ErrorKind.leaving, `endpoint "${this.endpoint}" is shutting down`)
    if (call.isIdempotent) return await this.runner.run(call)
    const ticket = parseTicket(call.key)
    if (ticket !== undefined && !this.tickets.isValid(ticket)) {
      throw createError(ErrorKind.outcomeUnknown, `ticket "${call.key}" has expired or its process has ended; the call will not run`, {
        outcome: Outcome.unknown
      })
    }
    const needsClaim = call.key !== '' && ticket === undefined
    return await this.start(call, recordKey, needsClaim)
  }

  /**
   * Resolves the outcome of a call whose answer was lost: waits for the call if it has started, and otherwise prevents
   * it from ever starting.
   *
   * @param request - identity of the call
   * @param scope - service and team
   * @param key - its idempotency key; empty for none
   * @returns the answer of the call, or of an earlier call with the same key
   * @throws an error with outcome `not-run` if neither had started here; this call then never starts
   */
  async resolve (request: string, scope = '', key = ''): Promise<Answer> {
    const recordKey = key === '' ? `request ${request}` : this.formatRecordKey(scope, key)
    const record = this.records.get(recordKey)
    if (record?.isStarted === true) return await record.result
    if (record !== undefined) record.isCancelled = true
    this.tombstones.add(request)
    this.clock.schedule(this.retentionMs, () => { this.tombstones.delete(request) })
    throw createError(ErrorKind.superseded, `call "${request}" had not started and was cancelled`)
  }

  /**
   * Resolves the outcome of the call with a given key for another process, which found the key claimed by this one.
   *
   * @param scope - service and team
   * @param key - the idempotency key
   * @returns the answer of the call
   * @throws an error with outcome `not-run` if this process has not started the call; it then never starts it
   */
  async resolveKey (scope: string, key: string): Promise<Answer> {
    const record = this.records.get(this.formatRecordKey(scope, key))
    if (record?.isStarted === true) return await record.result
    if (record !== undefined) record.isCancelled = true
    throw createError(ErrorKind.superseded, `the call with key "${key}" had not started in this process`)
  }

  private formatRecordKey (scope: string, key: string): string {
    return `key ${scope} ${key}`
  }

  private getRecordKey (call: Call): string {
    return call.key === '' ? `request ${call.request}` : this.formatRecordKey(call.scope, call.key)
  }

  private async repeat (record: CallRecord<Answer>, call: Call): Promise<Answer> {
    this.checkFingerprint(record.fingerprint, call)
    return await record.result
  }

  private checkFingerprint (fingerprint: string, call: Call): void {
    if (fingerprint === call.fingerprint) return
    throw createError(ErrorKind.keyReused, `idempotency key "${call.key}" was used for another request; use a new key`)
  }

  private start (call: Call, recordKey: string, needsClaim: boolean): Promise<Answer> {
    const record: CallRecord<Answer> = {
      fingerprint: call.fingerprint,
      isStarted: false,
      isCancelled: false,
      result: Promise.reject(createError(ErrorKind.internal, 'the call record has no result yet'))
    }
    record.result.catch(() => {})
    this.records.set(recordKey, record)
    this.clock.schedule(this.retentionMs, () => { this.removeRecord(recordKey, record) })
    record.result = needsClaim ? this.runClaimed(call, record) : this.runOnce(call, record)
    record.result.catch((error: unknown) => {
      const hasNotRun = getErrorOutcome(error) === Outcome.notRun
      if (hasNotRun) this.removeRecord(recordKey, record)
    })
    return record.result
  }

  private async runOnce (call: Call, record: CallRecord<Answer>): Promise<Answer> {
    if (record.isCancelled) throw createError(ErrorKind.superseded, `call "${call.request}" was cancelled`)
    record.isStarted = true
    return await this.runner.run(call)
  }

  private async runClaimed (call: Call, record: CallRecord<Answer>): Promise<Answer> {
    const scopedKey = `${call.scope} ${call.key}`
    const range = this.findRange(call, scopedKey)
    const { isGranted, entry } = await range.claim(scopedKey, call.fingerprint)
    if (!isGranted) return this.getClaimedAnswer(call, entry)
    try {
      const answer = await this.runOnce(call, record)
      range.recordAnswer(scopedKey, answer)
      return answer
    } catch (error) {
      if (getErrorOutcome(error) === Outcome.notRun) await range.release(scopedKey)
      throw error
    }
  }

  private getClaimedAnswer (call: Call, entry: ClaimEntry<Answer>): Answer {
    this.checkFingerprint(entry.fingerprint, call)
    if (entry.answer !== undefined) return entry.answer
    throw new ClaimedElsewhereError(call.key, entry)
  }

  private removeRecord (recordKey: string, record: CallRecord<Answer>): void {
    if (this.records.get(recordKey) === record) this.records.delete(recordKey)
  }
}
