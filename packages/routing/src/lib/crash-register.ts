/**
 * Records which requests were running when an endpoint crashed, so that a request that crashes endpoints is not retried on
 * one endpoint after another.
 *
 * A request is identified by a fingerprint of its team and content, because a caller resends it under a new request ID.
 * After one crash, every request of the batch is a suspect. A request that was also running when a second endpoint crashed
 * is quarantined: entries and endpoints refuse it. A request that is answered did not cause the crashes around that time.
 */
import type { Clock } from '@clementineloft/kernel'

/** How long a crash is kept after its latest report, in milliseconds. */
export const crashRetentionMs = 3_600_000
/** Number of crashed endpoints from which a request is quarantined. */
const minQuarantineEndpoints = 2
/** Maximum number of fingerprints with crashes; suspects are evicted before quarantined ones, each the oldest first. */
const maxFingerprints = 10_000
/** Maximum number of fingerprints of answered requests. */
const maxAnswered = 10_000
/** Time for which a crash that quarantined nothing is told to other processes, in milliseconds. */
const suspectNoticeMs = 30_000
/** Maximum number of crashes kept for one fingerprint, the latest ones: more than decide anything. */
const maxCrashes = 4
/** Time after an answer in which crashes are not held against the request, in milliseconds. */
const answerValidityMs = 10_000

/** One crash of one engine, with the fingerprints of the requests that it was running. */
export interface CrashReport {
  endpoint: string
  fingerprints: string[]
}

/** A crash of one endpoint while it had a request. Times are milliseconds of the clock. */
export interface RequestCrash {
  endpoint: string
  /** When the request was sent there. */
  sentMs: number
  crashedMs: number
}

/** A {@link RequestCrash} as told to other processes: in ages, since the clocks of processes differ. */
export interface CrashAge {
  endpoint: string
  /** Time since the crash, in milliseconds. */
  ageMs: number
  /** Time from sending the request to the crash, in milliseconds. */
  heldMs: number
}

/** All that a process knows of one fingerprint, as told to other processes. */
export interface CrashNotice {
  fingerprint: string
  crashes: CrashAge[]
  /** Time since the request was last answered, in milliseconds; absent if it was not. */
  answeredAgeMs?: number
}

/** Options of a {@link CrashRegister}. */
export interface CrashRegisterOptions {
  /**
   * Time within which crashes of several endpoints count as one, since they have a common cause, in milliseconds. A crash
   * under a request that was sent after the previous crash always counts.
   */
  commonCauseMs: number
}

interface CrashRecord {
  /** Latest crashes, by endpoint. */
  crashes: Map<string, RequestCrash>
  answeredMs: number
  expiresAtMs: number
}

/** Crashes in the whole fleet, as known to one process. */
export class CrashRegister {
  private readonly records = new Map<string, CrashRecord>()
  /** Time of the latest answer to requests, the oldest first. */
  private readonly answeredMs = new Map<string, number>()
  /** Fingerprints in the order in which they are told to other processes. */
  private readonly rotation = new Set<string>()

  constructor (
    private readonly clock: Clock,
    private readonly options: CrashRegisterOptions = { commonCauseMs: 0 }
  ) {}

  /**
   * Records a crash.
   *
   * @returns whether the report contains a fingerprint not yet recorded for this endpoint
   */
  record (report: CrashReport): boolean {
    const crashedMs = this.clock.now()
    let isNew = false
    for (const fingerprint of report.fingerprints) {
      isNew = this.recordCrash(fingerprint, { endpoint: report.endpoint, sentMs: crashedMs, crashedMs }) || isNew
    }
    return isNew
  }

  /**
   * Records a crash of one endpoint while it had a request.
   *
   * @returns whether the crash was not known
   */
  recordCrash (fingerprint: string, crash: RequestCrash): boolean {
    const isNew = this.addCrash(fingerprint, crash)
    this.trim()
    return isNew
  }

  /**
   * Records what another process knows.
   *
   * @returns whether the notice contains a crash that this process did not know, or clears the request of one
   */
  merge (notice: CrashNotice): boolean {
    const nowMs = this.clock.now()
    const { fingerprint, crashes, answeredAgeMs = Infinity } = notice
    let isNew = false
    for (const { endpoint, ageMs, heldMs } of crashes) {
      const crashedMs = nowMs - ageMs
      if (ageMs < crashRetentionMs) isNew = this.recordCrash(fingerprint, { endpoint, crashedMs, sentMs: crashedMs - heldMs }) || isNew
    }
    const countedBefore = this.countCrashes(fingerprint)
    const record = this.records.get(fingerprint)
    if (record !== undefined) record.answeredMs = Math.max(record.answeredMs, nowMs - answeredAgeMs)
    const isCleared = this.countCrashes(fingerprint) < countedBefore
    return isNew || isCleared
  }

  /**
   * Records that a request has been answered, which clears it of the crashes until then.
   *
   * @returns whether it was a suspect
   */
  recordAnswer (fingerprint: string): boolean {
    const nowMs = this.clock.now()
    this.answeredMs.delete(fingerprint)
    this.answeredMs.set(fingerprint, nowMs)
    for (const [oldest, answeredMs] of this.answeredMs) {
      if (this.answeredMs.size <= maxAnswered && answeredMs > nowMs - answerValidityMs) break
      this.answeredMs.delete(oldest)
    }
    const wasSuspect = this.isSuspect(fingerprint)
    const record = this.records.get(fingerprint)
    if (record !== undefined) record.answeredMs = nowMs
    return wasSuspect
  }

  /** @returns whether the request was running at one or more crashes */
  isSuspect (fingerprint: string): boolean {
    return this.countCrashes(fingerprint) > 0
  }

  /** @returns whether the request was running at crashes of at least {@link minQuarantineEndpoints} endpoints */
  isQuarantined (fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= minQuarantineEndpoints
  }

  /** Removes a suspect that has completed while running alone; a quarantined request stays. */
  clear (fingerprint: string): void {
    if (!this.isQuarantined(fingerprint)) this.remove(fingerprint)
  }

  /** @returns what this process knows of a fingerprint; `undefined` if it was not running at any crash */
  createNotice (fingerprint: string): CrashNotice | undefined {
    const record = this.find(fingerprint)
    if (record === undefined) return undefined
    const nowMs = this.clock.now()
    return {
      fingerprint,
      crashes: [...record.crashes.values()].map(({ endpoint, sentMs, crashedMs }) => ({ endpoint, ageMs: nowMs - crashedMs, heldMs: crashedMs - sentMs })),
      ...(record.answeredMs === -Infinity ? {} : { answeredAgeMs: nowMs - record.answeredMs })
    }
  }

  /** @returns notices of quarantined requests and recent suspects; successive calls go through all of them in turn */
  listNextNotices (maxNotices: number): CrashNotice[] {
    const notices: CrashNotice[] = []
    const told: string[] = []
    for (const fingerprint of this.rotation) {
      if (notices.length >= maxNotices) break
      this.rotation.delete(fingerprint)
      const notice = this.createNotice(fingerprint)
      if (notice === undefined || !this.isWorthTelling(notice)) continue
      notices.push(notice)
      told.push(fingerprint)
    }
    for (const fingerprint of told) this.rotation.add(fingerprint)
    return notices
  }

  private isWorthTelling ({ fingerprint, crashes }: CrashNotice): boolean {
    return this.isQuarantined(fingerprint) || crashes.some(({ ageMs }) => ageMs < suspectNoticeMs)
  }

  private addCrash (fingerprint: string, crash: RequestCrash): boolean {
    const record = this.find(fingerprint) ?? {
      crashes: new Map<string, RequestCrash>(), answeredMs: this.answeredMs.get(fingerprint) ?? -Infinity, expiresAtMs: 0
    }
    const isNew = this.addToLatest(record.crashes, crash)
    record.expiresAtMs = Math.max(record.expiresAtMs, crash.crashedMs + crashRetentionMs)
    this.records.delete(fingerprint)
    this.records.set(fingerprint, record)
    if (isNew) this.rotation.add(fingerprint)
    return isNew
  }

  /** Adds a crash if it is among the latest ones. @returns whether it was added */
  private addToLatest (crashes: Map<string, RequestCrash>, crash: RequestCrash): boolean {
    if (crashes.has(crash.endpoint)) return false
    crashes.set(crash.endpoint, crash)
    if (crashes.size <= maxCrashes) return true
    const oldest = [...crashes.values()].reduce((one, other) => other.crashedMs < one.crashedMs ? other : one)
    crashes.delete(oldest.endpoint)
    return oldest !== crash
  }

  /** @returns number of crashes with separate causes at which the request was running, and which no answer has cleared */
  private countCrashes (fingerprint: string): number {
    const record = this.find(fingerprint)
    if (record === undefined) return 0
    let crashes = 0
    let countedMs = -Infinity
    for (const { sentMs, crashedMs } of [...record.crashes.values()].sort((one, other) => one.crashedMs - other.crashedMs)) {
      if (crashedMs <= record.answeredMs + answerValidityMs) continue
      const hasCommonCause = sentMs < countedMs && crashedMs < countedMs + this.options.commonCauseMs
      if (hasCommonCause) continue
      countedMs = crashedMs
      crashes++
    }
    return crashes
  }

  private find (fingerprint: string): CrashRecord | undefined {
    const record = this.records.get(fingerprint)
    if (record === undefined || record.expiresAtMs > this.clock.now()) return record
    this.remove(fingerprint)
    return undefined
  }

  private remove (fingerprint: string): void {
    this.records.delete(fingerprint)
    this.rotation.delete(fingerprint)
  }

  private trim (): void {
    if (this.records.size <= maxFingerprints) return
    for (const fingerprint of [...this.records.keys()]) {
      if (this.records.size <= maxFingerprints) return
      if (!this.isQuarantined(fingerprint)) this.remove(fingerprint)
    }
    for (const fingerprint of [...this.records.keys()]) {
      if (this.records.size <= maxFingerprints) return
      this.remove(fingerprint)
    }
  }
}
