/**
 * State that every process of the system holds: identity, clocks, events, metrics, logs, configuration, membership.
 */
import { Logger } from 'tslog'
import { ConfigReplica, Membership } from '@clementineloft/coordination'
import { createIdentifier, createSystemRandom, HybridClock, Journal, Metrics, SystemClock } from '@clementineloft/kernel'
import type { Clock, RandomSource } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import type { ConfigDocument } from '../operators/config-document.js'
import type { CommonSettings } from '../settings/settings-schema.js'

/** Maximum number of events that each process keeps for the timeline. */
export const journalCapacity = 10_000
const logLevels = { debug: 2, info: 3, warn: 4, error: 5 } as const

/** Shared parts of a process. */
export class ProcessContext {
  readonly clock: Clock = new SystemClock()
  readonly random: RandomSource = createSystemRandom()
  readonly hybridClock = new HybridClock(this.clock)
  readonly metrics = new Metrics()
  readonly replica = new ConfigReplica<ConfigDocument>()
  readonly membership = new Membership()
  readonly crashes: CrashRegister
  /** Identity of this run of the process; a restart gets a new one. */
  readonly incarnation = createIdentifier()
  readonly journal: Journal
  readonly log: Logger<unknown>
  isLeaving = false

  constructor (readonly settings: CommonSettings) {
    const { name } = settings.instance
    this.journal = new Journal(name, this.hybridClock, journalCapacity)
    this.crashes = new CrashRegister(this.clock)
    this.log = new Logger({
      name,
      type: settings.logs.format,
      minLevel: logLevels[settings.logs.level],
      hideLogPositionForProduction: true
    })
  }

  /**
   * @param load - number of requests held by this process
   * @returns the header of a message to another process
   */
  createHeader (load = 0): wire.IHeader {
    return {
      instance: this.settings.instance.name,
      incarnation: this.incarnation,
      revision: this.replica.getRevision(),
      at: this.hybridClock.issue(),
      isLeaving: this.isLeaving,
      load,
      address: this.settings.instance.address
    }
  }

  /**
   * Applies the header of a received message: advances the hybrid clock, and records the incarnation of the sender and
   * whether it is leaving.
   *
   * @param header - header of the message; ignored if absent
   */
  mergeHeader (header: wire.IHeader | null | undefined): void {
    if (header == null) return
    const { instance = '', incarnation = '', at, isLeaving } = header
    if (at != null) this.hybridClock.merge({ wallMs: at.wallMs ?? 0, counter: at.counter ?? 0 })
    if (instance === null || incarnation === null || instance === '') return
    this.membership.recordIncarnation(instance, incarnation)
    if (isLeaving === true) this.membership.recordLeaving(instance, incarnation)
  }
}
