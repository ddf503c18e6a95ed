/**
 * What one process knows of the crashes at which requests with one trait were.
 */
import type { CrashNotice, RequestCrash } from './crash-notice.js'

/** How long a crash is kept, in milliseconds. */
export const crashRetentionMs = 3_600_000
/** Maximum number of crashes kept for one trait, the latest ones: more than decide anything. */
const maxCrashes = 8
/** Time after an answer in which crashes are not held against its traits, in milliseconds. */
export const answerValidityMs = 10_000

/** Crashes of one trait, and the latest answer to a request with it. */
export class CrashRecord {
  private readonly crashes = new Map<string, RequestCrash>()
  private expiresAtMs = 0

  /**
   * @param companions - traits that all suspected requests had in common so far
   * @param answeredMs - time of the latest answer, in milliseconds of the clock; `-Infinity` if there was none
   */
  constructor (
    private companions: readonly string[],
    private answeredMs: number
  ) {}

  /** @returns whether the crash, stronger evidence of it, or the companions were not known */
  add (companions: readonly string[], crash: RequestCrash): boolean {
    const isNew = this.addToLatest(crash)
    const common = this.companions.filter((companion) => companions.includes(companion))
    const hasFewer = common.length < this.companions.length
    this.companions = common
    this.expiresAtMs = Math.max(this.expiresAtMs, crash.crashedMs + crashRetentionMs)
    return isNew || hasFewer
  }

  /** Records an answer. @returns whether it clears the trait of a crash */
  applyAnswer (answeredMs: number): boolean {
    if (answeredMs <= this.answeredMs) return false
    const validBefore = this.listValid().length
    this.answeredMs = answeredMs
    return this.listValid().length < validBefore
  }

  /** @returns the crashes of which no answer has cleared the trait */
  listValid (): RequestCrash[] {
    return [...this.crashes.values()].filter(({ crashedMs }) => crashedMs > this.answeredMs + answerValidityMs)
  }

  /** @returns traits that all suspected requests with this one had, itself included */
  listCompanions (): readonly string[] {
    return this.companions
  }

  /** @returns number of known crashes, whether or not an answer has cleared the trait of them */
  count (): number {
    return this.crashes.size
  }

  /** @returns when the record is forgotten, in milliseconds of the clock */
  getExpiry (): number {
    return this.expiresAtMs
  }

  /** @returns the record as told to other processes */
  createNotice (trait: string, nowMs: number): CrashNotice {
    return {
      trait,
      crashes: [...this.crashes.values()].map(({ sentMs, crashedMs, ...crash }) => ({ ...crash, ageMs: nowMs - crashedMs, heldMs: crashedMs - sentMs })),
      companions: [...this.companions],
      ...(this.answeredMs === -Infinity ? {} : { answeredAgeMs: nowMs - this.answeredMs })
    }
  }

  private addToLatest (crash: RequestCrash): boolean {
    const known = this.crashes.get(crash.endpoint)
    if (known !== undefined && (known.isBeginning || !crash.isBeginning)) return false
    this.crashes.set(crash.endpoint, crash)
    if (this.crashes.size <= maxCrashes) return true
    const oldest = [...this.crashes.values()].reduce((one, other) => other.crashedMs < one.crashedMs ? other : one)
    this.crashes.delete(oldest.endpoint)
    return oldest !== crash
  }
}
