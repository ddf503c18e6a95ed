/**
 * Budget for what a process holds of bodies: it answers the load of clients and endpoints that send much, slowly or without
 * end, on many connections at once. Decides who must pause and who is closed; time is passed in.
 */
import type { Clock } from '@clementineloft/kernel'

/** What the held memory is for. */
export const MemoryKind = {
  /** Bodies of requests that are being received. Their calls have not started. */
  receiving: 'receiving',
  /** Bodies of calls that have started, until their answer has ended. */
  running: 'running',
  /** Parts of answers that are buffered until they are complete, or until their caller reads. */
  answer: 'answer'
} as const
export type MemoryKind = typeof MemoryKind[keyof typeof MemoryKind]

/** Part of the budget above which bodies that are not small pause. */
const pauseRatio = 0.75
/** Part of the budget below which they resume. */
const resumeRatio = 0.6
/** Part of the budget that is held at most after bodies were closed because it was exceeded. */
const closeRatio = 0.9
/** Bodies up to this length never pause: the rest of the budget is for them. In bytes. */
const smallBytes = 16_384
/** Age from which a body may be closed while others pause, in milliseconds. */
const minAgeMs = 1000

/** Who holds memory. */
export abstract class MemoryHolder {
  /** Address that the bytes come from. */
  abstract readonly source: string

  /** Stops reading. */
  abstract pause (): void

  /** Reads again. */
  abstract resume (): void

  /** Drops what is held, and refuses or closes. The account has been released before. */
  abstract close (): void
}

/** What one body costs. */
export interface MemoryAccount {
  /** @param bytes - memory that is held now, in bytes */
  update: (bytes: number) => void
  /** Marks the call as started, so that its memory is counted and no longer closed. */
  startRunning: () => void
  /** Takes the account out of the budget. */
  release: () => void
}

interface Entry {
  kind: MemoryKind
  holder: MemoryHolder
  heldBytes: number
  startedMs: number
  isPaused: boolean
}

/** All accounts of a process. */
export class MemoryBudget {
  private readonly entries = new Set<Entry>()
  private readonly paused = new Set<Entry>()
  private readonly heldBytes: Record<MemoryKind, number> = { receiving: 0, running: 0, answer: 0 }
  private shortSinceMs: number | undefined

  /**
   * @param limitBytes - maximum of the memory held, in bytes
   * @param handleClosed - called for each account that is closed
   */
  constructor (
    private readonly clock: Clock,
    private limitBytes: number,
    private readonly handleClosed: (kind: MemoryKind, source: string) => void = () => {}
  ) {}

  /** Replaces the limit, in bytes. */
  applyLimit (limitBytes: number): void {
    this.limitBytes = limitBytes
    this.evaluateShortage()
  }

  /** @returns the limit, in bytes */
  getLimit (): number {
    return this.limitBytes
  }

  /** @returns memory held, in bytes: of one kind, or of all */
  getHeldBytes (kind?: MemoryKind): number {
    if (kind !== undefined) return this.heldBytes[kind]
    return this.heldBytes.receiving + this.heldBytes.running + this.heldBytes.answer
  }

  /** @returns whether nothing more is accepted */
  isExhausted (): boolean {
    return this.getHeldBytes() >= this.limitBytes
  }

  /** @returns whether bodies that are not small have to pause */
  isShort (): boolean {
    return this.shortSinceMs !== undefined
  }

  /** Opens an account, which holds nothing yet. */
  open (kind: MemoryKind, holder: MemoryHolder): MemoryAccount {
    const entry: Entry = { kind, holder, heldBytes: 0, startedMs: this.clock.now(), isPaused: false }
    this.entries.add(entry)
    return {
      update: (bytes) => { this.apply(entry, bytes) },
      startRunning: () => { this.startRunning(entry) },
      release: () => { this.release(entry) }
    }
  }

  /** Closes old bodies while others pause, costliest and slowest first. To be called several times a second while short. */
  check (): void {
    const nowMs = this.clock.now()
    if (this.shortSinceMs === undefined || nowMs - this.shortSinceMs < minAgeMs) return
    this.closeCostliest(resumeRatio, nowMs, minAgeMs)
    this.evaluateShortage()
  }

  /** @returns the addresses that cost most, with the bytes that each of them holds */
  listSources (count: number): Array<{ source: string, heldBytes: number }> {
    const totals = new Map<string, number>()
    for (const { holder: { source }, heldBytes } of this.entries) totals.set(source, (totals.get(source) ?? 0) + heldBytes)
    return [...totals].map(([source, heldBytes]) => ({ source, heldBytes }))
      .sort((first, second) => second.heldBytes - first.heldBytes).slice(0, count)
  }

  private apply (entry: Entry, bytes: number): void {
    if (!this.entries.has(entry)) return
    this.heldBytes[entry.kind] += bytes - entry.heldBytes
    entry.heldBytes = bytes
    if (this.getHeldBytes() > this.limitBytes) this.closeCostliest(closeRatio, this.clock.now(), 0)
    this.evaluateShortage()
    const mustPause = this.isShort() && entry.kind !== MemoryKind.running && bytes > smallBytes
    if (mustPause && !entry.isPaused && this.entries.has(entry)) this.pause(entry)
  }

  private startRunning (entry: Entry): void {
    if (!this.entries.has(entry)) return
    this.heldBytes[entry.kind] -= entry.heldBytes
    entry.kind = MemoryKind.running
    this.heldBytes[entry.kind] += entry.heldBytes
    this.paused.delete(entry)
  }

  private release (entry: Entry): void {
    if (!this.remove(entry)) return
    this.evaluateShortage()
  }

  private remove (entry: Entry): boolean {
    if (!this.entries.delete(entry)) return false
    this.paused.delete(entry)
    this.heldBytes[entry.kind] -= entry.heldBytes
    return true
  }

  private pause (entry: Entry): void {
    entry.isPaused = true
    this.paused.add(entry)
    entry.holder.pause()
  }

  private evaluateShortage (): void {
    const heldBytes = this.getHeldBytes()
    if (heldBytes > pauseRatio * this.limitBytes) this.shortSinceMs ??= this.clock.now()
    if (heldBytes >= resumeRatio * this.limitBytes || this.shortSinceMs === undefined) return
    this.shortSinceMs = undefined
    for (const entry of [...this.paused]) {
      this.paused.delete(entry)
      entry.isPaused = false
      entry.holder.resume()
    }
  }

  /** Closes accounts by cost times age until at most a part of the budget is held. Calls that have started go on. */
  private closeCostliest (ratio: number, nowMs: number, ageMs: number): void {
    if (this.getHeldBytes() === this.getHeldBytes(MemoryKind.running)) return
    const computeWeight = ({ heldBytes, startedMs }: Entry): number => heldBytes * (nowMs - startedMs + 1)
    const closable = [...this.entries].filter(({ kind, startedMs, heldBytes }) =>
      kind !== MemoryKind.running && heldBytes > 0 && nowMs - startedMs >= ageMs)
    for (const entry of closable.sort((first, second) => computeWeight(second) - computeWeight(first))) {
      if (this.getHeldBytes() <= ratio * this.limitBytes) return
      if (!this.remove(entry)) continue
      this.handleClosed(entry.kind, entry.holder.source)
      entry.holder.close()
    }
  }
}
