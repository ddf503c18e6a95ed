/**
 * Remembers which requests were running when an engine crashed.
 *
 * A request is known by a fingerprint of its team and content, because its caller sends it again under a new identity.
 * After one crash every request of the batch is a suspect and runs alone; a request that was there when a second
 * endpoint crashed is refused everywhere.
 */
import type { Clock } from '@clementineloft/kernel'

const retentionMs = 3_600_000
const quarantineCrashes = 2
const maxFingerprints = 10_000

/** One crash of one engine. */
export interface CrashReport {
  endpoint: string
  fingerprints: string[]
}

interface CrashRecord {
  endpoints: Set<string>
  expiresAtMs: number
}

/** What one process knows of crashes in the whole fleet. */
export class CrashRegister {
  private readonly records = new Map<string, CrashRecord>()

  constructor (private readonly clock: Clock) {}

  /**
   * Notes a crash.
   *
   * @returns whether it was news
   */
  record (report: CrashReport): boolean {
    let isNews = false
    for (const fingerprint of report.fingerprints) {
      const known = this.find(fingerprint) ?? { endpoints: new Set(), expiresAtMs: 0 }
      isNews ||= !known.endpoints.has(report.endpoint)
      known.endpoints.add(report.endpoint)
      known.expiresAtMs = this.clock.now() + retentionMs
      this.records.delete(fingerprint)
      this.records.set(fingerprint, known)
    }
    this.trim()
    return isNews
  }

  /** @returns whether the request was running at one crash at least */
  isSuspect (fingerprint: string): boolean {
    return this.find(fingerprint) !== undefined
  }

  /** @returns whether the request was running when several endpoints crashed */
  isQuarantined (fingerprint: string): boolean {
    return (this.find(fingerprint)?.endpoints.size ?? 0) >= quarantineCrashes
  }

  /** Forgets a suspect that has run to its end alone. */
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
