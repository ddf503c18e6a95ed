/**
 * Finds out which calls crash endpoints, refuses them, and shares what it knows with all other entries.
 *
 * Addresses a call that crashes every endpoint that begins to run it: its caller repeats it under a new identity at any
 * entry, so that each repeat would crash another endpoint.
 */
import type { Clock, Journal, Metrics } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'
import type { CallEndpoint, CrashNotice } from '@clementineloft/routing'
import { ListenProbe } from '../adapters/listen-probe.js'

/** Time within which crashes may have a common cause, in milliseconds: a power loss ends many endpoints within it. */
const commonCauseMs = 40

/** Receives what a {@link CrashMonitor} finds out. */
export interface CrashListener {
  /** Called when a call has been quarantined, so that attempts in progress end. */
  handleQuarantine: (fingerprint: string) => void
  /** Called with news for the other entries. */
  handleNews: (notices: CrashNotice[]) => void
}

/** Crashes as known to one entry. */
export class CrashMonitor {
  private readonly register: CrashRegister
  private readonly probe: ListenProbe
  private listener: CrashListener | undefined

  constructor (
    private readonly clock: Clock,
    private readonly journal: Journal,
    private readonly metrics: Metrics
  ) {
    this.register = new CrashRegister(clock, { commonCauseMs })
    this.probe = new ListenProbe(clock)
  }

  /** @param listener - receives what is found out from now on */
  subscribe (listener: CrashListener): void {
    this.listener = listener
  }

  /** @returns whether the call is refused, since it has crashed several endpoints */
  isQuarantined (fingerprint: string): boolean {
    return this.register.isQuarantined(fingerprint)
  }

  /**
   * Records that a connection was lost on which a call waited for its answer. Counts only if the endpoint has ended.
   *
   * @param sentMs - when the call was sent to the endpoint, in milliseconds of the clock
   */
  async recordLoss (fingerprint: string, { id, bornMs, address }: CallEndpoint, sentMs: number): Promise<void> {
    const crash = { endpoint: `${id}@${bornMs}`, sentMs, crashedMs: this.clock.now() }
    if (!await this.probe.isClosed(address)) return
    this.applyChange(fingerprint, () => this.register.recordCrash(fingerprint, crash))
  }

  /** Records that the endpoint has answered a call, so that the call has not crashed it. */
  recordAnswer (fingerprint: string): void {
    this.applyChange(fingerprint, () => this.register.recordAnswer(fingerprint))
  }

  /** Records what other entries know. */
  applyNotices (notices: readonly CrashNotice[]): void {
    for (const notice of notices) this.applyChange(notice.fingerprint, () => this.register.merge(notice))
  }

  /** @returns some of the known crashes; successive calls go through all of them in turn */
  listNextNotices (maxNotices: number): CrashNotice[] {
    return this.register.listNextNotices(maxNotices)
  }

  /** @param change - changes what is known of a fingerprint. Returns whether other entries should know it */
  private applyChange (fingerprint: string, change: () => boolean): void {
    const wasQuarantined = this.register.isQuarantined(fingerprint)
    if (!change()) return
    const notice = this.register.createNotice(fingerprint)
    if (notice !== undefined) this.listener?.handleNews([notice])
    const isQuarantined = this.register.isQuarantined(fingerprint)
    if (isQuarantined === wasQuarantined) return
    const endpoints = notice?.crashes.map(({ endpoint }) => endpoint).join(' ') ?? ''
    this.journal.record({ name: isQuarantined ? 'call-quarantined' : 'call-cleared', data: { fingerprint, endpoints } })
    if (!isQuarantined) return
    this.metrics.count('calls_quarantined_total')
    this.listener?.handleQuarantine(fingerprint)
  }
}
