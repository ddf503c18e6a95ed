/**
 * Finds out which calls crash endpoints, refuses them, and shares what it knows with all other entries.
 *
 * Addresses calls that crash every endpoint that begins to answer them: their callers repeat them under a new identity at
 * any entry, or send others with the same prompt part, so that each would crash another endpoint.
 */
import type { Clock, Journal, Metrics } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'
import type { CallEndpoint, CrashNotice } from '@clementineloft/routing'
import { ListenProbe } from '../adapters/listen-probe.js'
import { RecentVisits } from './recent-visits.js'
import type { Visit } from './recent-visits.js'

/** Time within which crashes may have a common cause, in milliseconds: a power loss ends many endpoints within it. */
const commonCauseMs = 40

/** A call that lost its endpoint. */
export interface LostCall {
  traits: readonly string[]
  endpoint: CallEndpoint
  /** When the call was sent there, in milliseconds of the clock. */
  sentMs: number
  /** Whether the endpoint was beginning to answer it: some bytes, and no complete event. */
  isBeginning: boolean
}

/** Receives what a {@link CrashMonitor} finds out. */
export interface CrashListener {
  /** Called when other calls may be refused than before, so that attempts in progress end. */
  handleQuarantine: () => void
  /** Called with news for the other entries. */
  handleNews: (notices: CrashNotice[]) => void
}

/** Crashes as known to one entry. */
export class CrashMonitor {
  private readonly register: CrashRegister
  private readonly probe: ListenProbe
  private readonly visits: RecentVisits
  private listener: CrashListener | undefined
  private quarantined: string[] = []

  constructor (
    private readonly clock: Clock,
    private readonly journal: Journal,
    private readonly metrics: Metrics
  ) {
    this.register = new CrashRegister(clock, { commonCauseMs })
    this.probe = new ListenProbe(clock)
    this.visits = new RecentVisits(clock)
  }

  /** @param listener - receives what is found out from now on */
  subscribe (listener: CrashListener): void {
    this.listener = listener
  }

  /** @returns time for which calls with these traits are refused, since such calls crash endpoints; 0 if they are not */
  computeRefusalMs (traits: readonly string[]): number {
    return this.register.computeRefusalMs(traits)
  }

  /** Records a call that lost its endpoint while it waited for its answer. Counts only if the endpoint has ended. */
  async recordLoss ({ traits, endpoint, sentMs, isBeginning }: LostCall): Promise<void> {
    const crash = { endpoint: `${endpoint.id}@${endpoint.bornMs}`, sentMs, crashedMs: this.clock.now(), isBeginning }
    if (!await this.probe.isClosed(endpoint.address)) return
    const changed = this.register.recordCrash(traits, crash)
    this.applyChanges(changed.length, changed)
  }

  /** Records that a call has left its endpoints without an answer that cleared it. */
  recordVisit (visit: Visit): void {
    this.visits.record(visit)
  }

  /** Records that an endpoint does not answer its sidecar any more, which may be due to a call that has just been there. */
  recordSilence (endpoint: CallEndpoint): void {
    for (const { traits, sentMs } of this.visits.listAt(endpoint)) void this.recordLoss({ traits, endpoint, sentMs, isBeginning: false })
  }

  /** Records that the endpoint has answered a call, so that the call has not crashed it. */
  recordAnswer (traits: readonly string[]): void {
    const cleared = this.register.recordAnswer(traits)
    this.applyChanges(cleared.length, cleared)
  }

  /**
   * Records what other entries know. Sidecars have told all entries already, so that only answers which clear a trait here
   * are news.
   */
  applyNotices (notices: readonly CrashNotice[]): void {
    const changed = notices.filter((notice) => this.register.merge(notice))
    const cleared = changed.filter(({ trait, answeredAgeMs }) => answeredAgeMs === undefined && !this.register.isSuspect(trait))
    this.applyChanges(changed.length, cleared.map(({ trait }) => trait))
  }

  /** @returns some of the known crashes; successive calls go through all of them in turn */
  listNextNotices (maxNotices: number): CrashNotice[] {
    return this.register.listNextNotices(maxNotices)
  }

  /**
   * @param changes - number of traits of which this entry knows more than before
   * @param news - those of which the other entries should know more
   */
  private applyChanges (changes: number, news: readonly string[]): void {
    if (changes === 0) return
    if (news.length > 0) this.listener?.handleNews(news.flatMap((trait) => this.register.createNotice(trait) ?? []))
    const before = this.quarantined
    this.quarantined = this.register.listQuarantined()
    for (const trait of before) {
      if (!this.quarantined.includes(trait)) this.journal.record({ name: 'call-cleared', data: { trait } })
    }
    for (const trait of this.quarantined) {
      if (!before.includes(trait)) this.recordQuarantine(trait)
    }
    this.listener?.handleQuarantine()
  }

  private recordQuarantine (trait: string): void {
    const notice = this.register.createNotice(trait)
    const endpoints = notice?.crashes.map(({ endpoint }) => endpoint).join(' ') ?? ''
    this.metrics.count('traits_quarantined_total')
    this.journal.record({ name: 'call-quarantined', data: { trait, companions: notice?.companions.join(' ') ?? '', endpoints } })
  }
}
