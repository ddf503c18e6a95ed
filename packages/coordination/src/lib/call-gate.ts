/**
 * The one door to a plain service: decides for each call whether it may start.
 *
 * A call that must not be repeated starts at most once. A repeat that meets a running call waits for it, and one that
 * meets a finished call gets the same answer.
 */
import { createError, ErrorKind, getErrorOutcome, KindError, Outcome } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import type { ClaimRange } from './claim-range.js'
import type { ClaimEntry } from './claim-records.js'
import { parseTicket } from './ticket-issuer.js'
import type { TicketIssuer } from './ticket-issuer.js'

/** A call as the gate sees it. */
export interface GuardedCall {
  /** Identity that the entry gave this call; the same in a later {@link CallGate.resolve}. */
  request: string
  /** What scopes the key: service and team. */
  scope: string
  /** The idempotency key; empty for none. */
  key: string
  /** Digest of method, path and body. */
  fingerprint: string
  isIdempotent: boolean
}

/** Runs calls. Errors with outcome `not-run` prove that the service did not receive the call. */
export abstract class CallRunner<Call extends GuardedCall, Answer> {
  abstract run (call: Call): Promise<Answer>
}

/** Gives the key range that a call's key belongs to; an error keeps the call from running. */
export type FindRange<Call, Answer> = (call: Call, scopedKey: string) => ClaimRange<Answer>

interface CallRecord<Answer> {
  fingerprint: string
  /** Whether the call has been handed to the service. */
  isStarted: boolean
  /** Whether the call was called off before it started; it then never starts. */
  isCancelled: boolean
  result: Promise<Answer>
}

/** A key was claimed by another process, which has not recorded an answer. */
export class ClaimedElsewhereError extends KindError {
  /** Endpoint that claimed the key. */
  readonly holder: string
  /** Process that claimed the key, and may know the answer. */
  readonly incarnation: string

  constructor (key: string, entry: ClaimEntry<unknown>) {
    const message = `idempotency key "${key}" was claimed by "${entry.holder}", which has not recorded an answer`
    super(ErrorKind.outcomeUnknown, message, { outcome: Outcome.unknown })
    this.holder = entry.holder
    this.incarnation = entry.incarnation
  }
}

/** Guards one plain service. */
export class CallGate<Call extends GuardedCall, Answer> {
  private readonly records = new Map<string, CallRecord<Answer>>()
  private readonly tombstones = new Set<string>()
  private isLeaving = false

  /**
   * @param endpoint - name of the endpoint
   * @param retentionMs - how long calls are remembered, in milliseconds
   */
  constructor (
    private readonly endpoint: string,
    private readonly runner: CallRunner<Call, Answer>,
    private readonly findRange: FindRange<Call, Answer>,
    private readonly tickets: TicketIssuer,
    private readonly clock: Clock,
    private readonly retentionMs: number
  ) {}

  /** @param isLeaving - whether new calls are refused; calls already here go on */
  setLeaving (isLeaving: boolean): void {
    this.isLeaving = isLeaving
  }

  /** @returns number of calls remembered */
  countRecords (): number {
    return this.records.size
  }

  /**
   * Runs a call, or gives the answer of the call that it repeats.
   *
   * @param call - the call
   * @throws errors whose outcome says whether the call may have run
   */
  async handle (call: Call): Promise<Answer> {
    if (this.tombstones.has(call.request)) {
      throw createError(ErrorKind.superseded, `call "${call.request}" was called off before it arrived`)
    }
    const recordKey = this.getRecordKey(call)
    const existing = this.records.get(recordKey)
    if (existing !== undefined && !existing.isCancelled) return await this.repeat(existing, call)
    if (this.isLeaving) throw createError(ErrorKind.leaving, `endpoint "${this.endpoint}" is shutting down`)
    if (call.isIdempotent) return await this.runner.run(call)
    const ticket = parseTicket(call.key)
    if (ticket !== undefined && !this.tickets.isValid(ticket)) {
      throw createError(ErrorKind.outcomeUnknown, `ticket "${call.key}" has expired or its process has ended; it will not run`, {
        outcome: Outcome.unknown
      })
    }
    const needsClaim = call.key !== '' && ticket === undefined
    return await this.start(call, recordKey, needsClaim)
  }

  /**
   * Settles a call whose answer was lost: waits for it if it is here, and otherwise makes sure that it never starts.
   *
   * @param request - identity of the call
   * @param scope - service and team
   * @param key - its idempotency key; empty for none
   * @returns its answer, or that of an earlier call with the same key
   * @throws an error with outcome `not-run` if neither had started here, and this one never will
   */
  async resolve (request: string, scope = '', key = ''): Promise<Answer> {
    const recordKey = key === '' ? `request ${request}` : this.formatRecordKey(scope, key)
    const record = this.records.get(recordKey)
    if (record?.isStarted === true) return await record.result
    if (record !== undefined) record.isCancelled = true
    this.tombstones.add(request)
    this.clock.schedule(this.retentionMs, () => { this.tombstones.delete(request) })
    throw createError(ErrorKind.superseded, `call "${request}" had not started and was called off`)
  }

  /**
   * Settles a key that another process wants to know of.
   *
   * @param scope - service and team
   * @param key - the idempotency key
   * @returns the answer of the call
   * @throws an error with outcome `not-run` if this process never started it, and never will
   */
  async resolveKey (scope: string, key: string): Promise<Answer> {
    const record = this.records.get(this.formatRecordKey(scope, key))
    if (record?.isStarted === true) return await record.result
    if (record !== undefined) record.isCancelled = true
    throw createError(ErrorKind.superseded, `key "${key}" had not started here`)
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
      result: Promise.reject(createError(ErrorKind.internal, 'the call was not set up'))
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
    if (record.isCancelled) throw createError(ErrorKind.superseded, `call "${call.request}" was called off`)
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
