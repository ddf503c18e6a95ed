/**
 * Records which requests were running when an endpoint crashed, so that requests that crash endpoints are not sent to one
 * endpoint after another.
 *
 * A request is known by its traits: a fingerprint of its team and content, because a caller resends it under a new request
 * ID, and the parts of its prompt that others may share. After one crash, the traits of every request at the endpoint are
 * suspects. Those that explain two crashes are quarantined (crash-verdicts.ts): a request that has one of them is refused,
 * as long as it has all traits that the suspected requests had in common. Requests that are answered clear their traits of
 * the crashes around that time.
 */
import type { Clock } from '@clementineloft/kernel'
import type { CrashNotice, RequestCrash } from './crash-notice.js'
import { answerValidityMs, CrashRecord, crashRetentionMs } from './crash-record.js'
import { countSeparateCrashes, findCrashingTraits } from './crash-verdicts.js'
import type { SuspectedTrait } from './crash-verdicts.js'

/** Maximum number of traits with crashes; suspects are evicted before quarantined ones, each the oldest first. */
const maxTraits = 10_000
/** Number of traits that are evicted together, so that an eviction costs little for each. */
const evictionBatch = 500
/** Maximum number of traits of answered requests. */
const maxAnswered = 10_000
/** Time for which a crash that quarantined nothing is told to other processes, in milliseconds. */
const suspectNoticeMs = 30_000
/**
 * Time for which calls wait after an endpoint was beginning to answer one of them when it crashed, in milliseconds: those with
 * the same content, and those with all its suspected parts, if it has any.
 */
const SuspectPauseMs = { content: 5000, parts: 30_000 } as const
/**
 * Time for which a prompt part is refused after two crashes, in milliseconds, by whether endpoints were beginning to answer
 * on it at two of them. Then it is tried again, since a part that many share may be suspected wrongly and, while it is
 * refused, no answer clears it.
 */
const PartQuarantineMs = { beginning: 30_000, waiting: 5000 } as const
/** Factor on that time for each further crash. */
const partQuarantineFactor = 4
/** Separates service and part in the trait of a part; fingerprints do not contain it. */
const partSeparator = '/'

/** One crash of one engine, with the fingerprints of the requests that it was running. */
export interface CrashReport {
  endpoint: string
  fingerprints: string[]
}

/** Options of a {@link CrashRegister}. */
export interface CrashRegisterOptions {
  /** Time within which crashes of several endpoints may have a common cause, in milliseconds. */
  commonCauseMs: number
}

/** @returns the trait of a prompt part, as the same part may be harmless to the model of another service */
export const formatPartTrait = (service: string, part: string): string => `${service}${partSeparator}${part}`

const isPartTrait = (trait: string): boolean => trait.includes(partSeparator)

/** Crashes in the whole fleet, as known to one process. */
export class CrashRegister {
  private readonly records = new Map<string, CrashRecord>()
  /** Time of the latest answer to requests with a trait, the oldest first. */
  private readonly answeredMs = new Map<string, number>()
  /** Traits in the order in which they are told to other processes. */
  private readonly rotation = new Set<string>()
  /** Traits with more than one crash. */
  private readonly repeated = new Set<string>()
  /** When endpoints crashed that were beginning to answer a request, by its fingerprint. */
  private readonly beginningMs = new Map<string, number>()
  /** Quarantined traits; `undefined` after a change. */
  private quarantined: Set<string> | undefined

  constructor (
    private readonly clock: Clock,
    private readonly options: CrashRegisterOptions = { commonCauseMs: 0 }
  ) {}

  /**
   * Records a crash under requests of which only fingerprints are known.
   *
   * @returns whether the report contains a fingerprint not yet recorded for this endpoint
   */
  record ({ endpoint, fingerprints }: CrashReport): boolean {
    const nowMs = this.clock.now()
    const crash = { endpoint, sentMs: nowMs, crashedMs: nowMs, isBeginning: false }
    const changed = fingerprints.flatMap((fingerprint) => this.recordCrash([fingerprint], crash))
    return changed.length > 0
  }

  /**
   * Records a crash of one endpoint while it had a request.
   *
   * @param traits - all traits of the request
   * @returns the traits for which the crash was not known
   */
  recordCrash (traits: readonly string[], crash: RequestCrash): string[] {
    const changed = traits.filter((trait) => this.addCrash(trait, traits, crash))
    this.trim()
    return changed
  }

  /**
   * Records what another process knows.
   *
   * @returns whether the notice contains anything that this process did not know
   */
  merge ({ trait, crashes, companions, answeredAgeMs = Infinity }: CrashNotice): boolean {
    const nowMs = this.clock.now()
    let isNew = false
    for (const { ageMs, heldMs, ...crash } of crashes) {
      const crashedMs = nowMs - ageMs
      if (ageMs < crashRetentionMs) isNew = this.addCrash(trait, companions, { ...crash, crashedMs, sentMs: crashedMs - heldMs }) || isNew
    }
    this.trim()
    return this.applyAnswer(trait, nowMs - answeredAgeMs) || isNew
  }

  /**
   * Records that a request has been answered, which clears its traits of the crashes until then.
   *
   * @returns the traits that were suspects
   */
  recordAnswer (traits: readonly string[]): string[] {
    const nowMs = this.clock.now()
    for (const trait of traits) {
      this.answeredMs.delete(trait)
      this.answeredMs.set(trait, nowMs)
    }
    for (const [oldest, answeredMs] of this.answeredMs) {
      if (this.answeredMs.size <= maxAnswered && answeredMs > nowMs - answerValidityMs) break
      this.answeredMs.delete(oldest)
    }
    return traits.filter((trait) => this.applyAnswer(trait, nowMs))
  }

  /** @returns whether requests with the trait were running at one or more crashes that nothing has cleared it of */
  isSuspect (trait: string): boolean {
    return this.listValidCrashes(trait).length > 0
  }

  /** @returns whether a request of which only this trait is known is refused */
  isQuarantined (trait: string): boolean {
    return this.isRefused([trait])
  }

  /** @returns whether a request is refused, see {@link computeRefusalMs} */
  isRefused (traits: readonly string[]): boolean {
    return this.computeRefusalMs(traits) > 0
  }

  /**
   * A request is refused if it has a quarantined trait together with all that the suspected requests had in common, or if an
   * endpoint has just crashed while it was beginning to answer the same content.
   *
   * @param traits - traits of the request; the first one is its fingerprint
   * @returns time for which a request with these traits is refused, in milliseconds; 0 if it is not
   */
  computeRefusalMs (traits: readonly string[]): number {
    if (this.records.size === 0) return 0
    const quarantined = this.getQuarantined()
    const deciding = traits.filter((trait) => quarantined.has(trait) && this.hasAllCompanions(trait, traits))
    const untilMs = deciding.map((trait) => trait === traits[0] ? this.find(trait)?.getExpiry() ?? 0 : this.computePartQuarantineEnd(trait))
    return Math.max(this.computePauseMs(traits), ...untilMs.map((ms) => ms - this.clock.now()))
  }

  /** @returns the quarantined traits */
  listQuarantined (): string[] {
    return [...this.getQuarantined()]
  }

  /** Removes a suspect that has completed while running alone; a quarantined one stays. */
  clear (trait: string): void {
    if (!this.isQuarantined(trait)) this.remove(trait)
  }

  /** @returns what this process knows of a trait; `undefined` if it was at no crash */
  createNotice (trait: string): CrashNotice | undefined {
    return this.find(trait)?.createNotice(trait, this.clock.now())
  }

  /** @returns notices of quarantined traits and recent suspects; successive calls go through all of them in turn */
  listNextNotices (maxNotices: number): CrashNotice[] {
    const notices: CrashNotice[] = []
    for (const trait of this.rotation) {
      if (notices.length >= maxNotices) break
      this.rotation.delete(trait)
      const notice = this.createNotice(trait)
      if (notice !== undefined && this.isWorthTelling(notice)) notices.push(notice)
    }
    for (const { trait } of notices) this.rotation.add(trait)
    return notices
  }

  private isWorthTelling ({ trait, crashes }: CrashNotice): boolean {
    return this.getQuarantined().has(trait) || crashes.some(({ ageMs }) => ageMs < suspectNoticeMs)
  }

  /** A companion that has been answered, or is no longer known, is not the cause and need not be there. */
  private hasAllCompanions (trait: string, traits: readonly string[]): boolean {
    const record = this.find(trait)
    if (record === undefined) return false
    return record.listCompanions().every((companion) => traits.includes(companion) || !this.isSuspect(companion))
  }

  /** @returns when calls with a quarantined part are tried again, in milliseconds of the clock */
  private computePartQuarantineEnd (part: string): number {
    const crashes = this.listValidCrashes(part)
    const furtherCrashes = countSeparateCrashes(crashes, this.options.commonCauseMs) - 2
    const beginningCrashes = crashes.filter(({ isBeginning }) => isBeginning).length
    const firstMs = beginningCrashes > 1 ? PartQuarantineMs.beginning : PartQuarantineMs.waiting
    const quarantineMs = Math.min(crashRetentionMs, firstMs * partQuarantineFactor ** furtherCrashes)
    return Math.max(...crashes.map(({ crashedMs }) => crashedMs)) + quarantineMs
  }

  /**
   * @returns time for which the request waits since an endpoint was beginning to answer the same content, or another with the
   *   same suspected parts, when it crashed, in milliseconds
   */
  private computePauseMs (traits: readonly string[]): number {
    const nowMs = this.clock.now()
    let untilMs = nowMs
    for (const [fingerprint, crashedMs] of this.beginningMs) {
      const isOver = crashedMs + SuspectPauseMs.parts <= nowMs || !this.isSuspect(fingerprint)
      if (isOver) this.beginningMs.delete(fingerprint)
      const pauseMs = isOver ? 0 : this.choosePauseMs(traits, fingerprint)
      if (pauseMs > 0) untilMs = Math.max(untilMs, crashedMs + pauseMs)
    }
    return untilMs - nowMs
  }

  /** @returns time for which a request waits after the crash under a suspect; 0 unless it resembles the suspect */
  private choosePauseMs (traits: readonly string[], fingerprint: string): number {
    const parts = this.find(fingerprint)?.listCompanions().filter((trait) => trait !== fingerprint && this.isSuspect(trait)) ?? []
    if (parts.length > 0 && parts.every((part) => traits.includes(part))) return SuspectPauseMs.parts
    return traits[0] === fingerprint ? SuspectPauseMs.content : 0
  }

  private getQuarantined (): ReadonlySet<string> {
    if (this.quarantined !== undefined) return this.quarantined
    const suspects = [...this.repeated].map((trait) => this.describeSuspect(trait))
    this.quarantined = new Set(findCrashingTraits(suspects, this.options.commonCauseMs))
    return this.quarantined
  }

  private describeSuspect (trait: string): SuspectedTrait {
    const companions = this.find(trait)?.listCompanions().filter((companion) => this.isSuspect(companion)) ?? []
    return { trait, crashes: this.listValidCrashes(trait), companions: companions.length }
  }

  /** @returns whether the crash or the companions were not known */
  private addCrash (trait: string, companions: readonly string[], crash: RequestCrash): boolean {
    const record = this.find(trait) ?? new CrashRecord(companions, this.answeredMs.get(trait) ?? -Infinity)
    if (!record.add(companions, crash)) return false
    this.records.delete(trait)
    this.records.set(trait, record)
    this.rotation.add(trait)
    if (record.count() > 1) this.repeated.add(trait)
    if (crash.isBeginning && !isPartTrait(trait)) this.beginningMs.set(trait, crash.crashedMs)
    this.quarantined = undefined
    return true
  }

  /** @returns whether the answer clears the trait of a crash */
  private applyAnswer (trait: string, answeredMs: number): boolean {
    const isCleared = this.find(trait)?.applyAnswer(answeredMs) === true
    if (isCleared) this.quarantined = undefined
    return isCleared
  }

  private listValidCrashes (trait: string): RequestCrash[] {
    return this.find(trait)?.listValid() ?? []
  }

  private find (trait: string): CrashRecord | undefined {
    const record = this.records.get(trait)
    if (record === undefined || record.getExpiry() > this.clock.now()) return record
    this.remove(trait)
    return undefined
  }

  private remove (trait: string): void {
    this.records.delete(trait)
    this.rotation.delete(trait)
    this.repeated.delete(trait)
    this.quarantined = undefined
  }

  private trim (): void {
    if (this.records.size <= maxTraits) return
    const quarantined = new Set(this.getQuarantined())
    const oldest = [...this.records.keys()]
    const order = [...oldest.filter((trait) => !quarantined.has(trait)), ...oldest.filter((trait) => quarantined.has(trait))]
    for (const trait of order.slice(0, this.records.size - maxTraits + evictionBatch)) this.remove(trait)
  }
}
