/**
 * The memory budget of this process: its limit, the gauges and counters about it, and the log line of each episode of
 * shortage.
 */
import { totalmem } from 'node:os'
import { getHeapStatistics } from 'node:v8'
import { SystemClock } from '@clementineloft/kernel'
import type { Journal, Metrics } from '@clementineloft/kernel'
import { MemoryBudget, MemoryKind } from '@clementineloft/routing'
import type { MemoryAccount, MemoryHolder } from '@clementineloft/routing'

/** Part of the memory limit for bodies; the rest is for the program, its heap and chunks that are not collected yet. */
const budgetRatio = 0.2
const bytesPerMb = 1e6
const checkIntervalMs = 250
/** Time without a shortage after which an episode has ended, in milliseconds. */
const episodeEndMs = 10_000
/** Number of addresses in the line of an episode. */
const loggedSources = 3

/** Where the state of the budget is shown. */
interface Observers {
  journal: Journal
  metrics: Metrics
}

/** Counts what this process holds of bodies, and keeps it under the limit. */
export class ProcessMemory {
  private readonly clock = new SystemClock()
  private readonly budget: MemoryBudget
  private observers: Observers | undefined
  private timer: NodeJS.Timeout | undefined
  private lastShortMs = 0
  private closedCount = 0

  constructor () {
    const limitBytes = Math.min(totalmem(), getHeapStatistics().heap_size_limit) * budgetRatio
    this.budget = new MemoryBudget(this.clock, limitBytes, (kind) => { this.recordClosed(kind) })
  }

  /** Derives the budget from the memory of the instance, in megabytes. */
  applyMemoryLimit (memoryMb: number): void {
    this.budget.applyLimit(memoryMb * bytesPerMb * budgetRatio)
  }

  /** Shows the state of the budget in the journal and the metrics of the process. */
  subscribe (observers: Observers): void {
    this.observers = observers
    for (const kind of Object.values(MemoryKind)) {
      observers.metrics.registerGauge(`memory_held_bytes{kind="${kind}"}`, () => this.budget.getHeldBytes(kind))
    }
    observers.metrics.registerGauge('memory_budget_bytes', () => this.budget.getLimit())
  }

  /** Opens an account in the budget. */
  open (kind: MemoryKind, holder: MemoryHolder): MemoryAccount {
    const account = this.budget.open(kind, holder)
    return {
      ...account,
      update: (bytes) => {
        account.update(bytes)
        if (this.timer === undefined && this.budget.isShort()) this.beginEpisode()
      }
    }
  }

  /** @returns whether a new body has to be refused */
  isExhausted (): boolean {
    return this.budget.isExhausted()
  }

  /** Counts a request that was refused or a connection that was closed, by reason. */
  count (name: 'refusals' | 'closings', reason: string): void {
    this.observers?.metrics.count(`memory_${name}_total{reason="${reason}"}`)
  }

  private recordClosed (kind: MemoryKind): void {
    this.closedCount++
    this.count('closings', `budget-${kind}`)
  }

  private beginEpisode (): void {
    this.closedCount = 0
    this.lastShortMs = this.clock.now()
    this.observers?.journal.record({ name: 'memory-short', data: { heldBytes: this.budget.getHeldBytes(), sources: this.describeSources() } })
    this.timer = setInterval(() => { this.check() }, checkIntervalMs)
    this.timer.unref()
  }

  private check (): void {
    this.budget.check()
    if (this.budget.isShort()) this.lastShortMs = this.clock.now()
    if (this.clock.now() - this.lastShortMs < episodeEndMs) return
    clearInterval(this.timer)
    this.timer = undefined
    this.observers?.journal.record({ name: 'memory-regained', data: { closed: this.closedCount } })
  }

  private describeSources (): string {
    return this.budget.listSources(loggedSources).map(({ source, heldBytes }) => `${source}=${heldBytes}`).join(' ')
  }
}

/** The budget of this process. */
export const processMemory = new ProcessMemory()
