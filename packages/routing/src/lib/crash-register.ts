/**
 * Records which requests were running when an engine crashed, so that a request that crashes engines is not retried on one
 * endpoint after another.
 *
 * A request is identified by a fingerprint of its team and content, because a caller resends it under a new request ID.
 * After one crash, every request of the batch is a suspect and runs alone. A request that was also running when a second
 * endpoint crashed is quarantined: entries and endpoints refuse it.
 */
import type { Clock } from '@clementineloft/kernel'

/** How long a crash is kept after its latest report, in milliseconds. */
const retentionMs = 3_600_000
/** Number of crashed endpoints from which a request is quarantined. */
const minQuarantineEndpoints = 2
/** Maximum number of fingerprints; those with the oldest reports are evicted first. */
const maxFingerprints = 10_000

/** One crash of one engine, with the fingerprints of the requests that it was running. */
export interface CrashReport {
  endpoint: string
  fingerprints: string[]
}

interface CrashRecord {
  endpoints: Set<string>
  expiresAtMs: number
}

/** Crashes in the whole fleet, as known to one process. */
export class CrashRegister {
  private readonly records = new Map<string, CrashRecord>()

  constructor (private readonly clock: Clock) {}

  /**
   * Records a crash.
   *
   * @returns whether the report contains a fingerprint not yet recorded for this endpoint
   */
  record (report: CrashReport): boolean {
    let isNew = false
    for (const fingerprint of report.fingerprints) {
      const crashRecord = this.find(fingerprint) ?? { endpoints: new Set(), expiresAtMs: 0 }
      isNew ||= !crashRecord.endpoints.has(report.endpoint)
      crashRecord.endpoints.add(report.endpoint)
      crashRecord.expiresAtMs = this.clock.now() + retentionMs
      this.records.delete(fingerprint)
      this.records.set(fingerprint, crashRecord)
    }
    this.trim()
    return isNew
  }

  /** @returns whether the request was running at one or more crashes */
  isSuspect (fingerprint: string): boolean {
    return this.find(fingerprint) !== undefined
  }

  /** @returns whether the request was running at crashes of at least {@link minQuarantineEndpoints} endpoints */
  isQuarantined (fingerprint: string): boolean {
    return (this.find(fingerprint)?.endpoints.size ?? 0) >= minQuarantineEndpoints
  }

  /** Removes a suspect that has completed while running alone; a quarantined request stays. */
  clear (fingerprint: string): void {
    if (!this.isQuarantined(fingerprint)) this.records.delete(fingerprint)
  }

  private find (fingerprint: string): CrashRecord | undefined {
    const record = this.records.get(fingerprint)
    return record !== undefined && record.expiresAtMs > this.clock.now() ? record : undefined
  }

  private trim (): void {
    for (const fingerprint of this.records.keys()) {
      if (this.records.size <= maxFingerprints) return
      this.records.delete(fingerprint)
    }
  }
}
