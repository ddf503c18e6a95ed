/**
 * Refuses calls that crash the plain services that run them, and finds out which calls do.
 */
import type { CrashReport, CrashRegister } from '@clementineloft/routing'
import { computeDigest, createError, ErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { PlainService } from '../adapters/plain-service.js'
import type { ServiceAnswer, ServiceCall } from '../adapters/plain-service.js'

/** The plain service beside one sidecar, without the calls that crash it. */
export class CrashGuard extends PlainService {
  /**
   * @param service - the guarded service
   * @param endpoint - name of the endpoint in crash reports
   * @param crashes - crashes known to this process
   * @param broadcastCrash - reports a crash to all processes
   */
  constructor (
    private readonly service: PlainService,
    private readonly endpoint: string,
    private readonly crashes: CrashRegister,
    private readonly broadcastCrash: (report: CrashReport) => Promise<void>
  ) {
    super()
  }

  /** @throws `quarantined` if calls with the same team and content have crashed several endpoints */
  override async run (call: ServiceCall): Promise<ServiceAnswer> {
    const fingerprint = computeDigest(`${call.scope}\n${call.fingerprint}`)
    if (this.crashes.isQuarantined(fingerprint)) {
      throw createError(ErrorKind.quarantined, 'a call with the same team and content has crashed several endpoints; change it before a retry')
    }
    try {
      const answer = await this.service.run(call)
      this.crashes.recordAnswer([fingerprint])
      return answer
    } catch (error) {
      const mayHaveCrashed = getErrorOutcome(error) === Outcome.unknown && await this.service.hasEnded()
      if (mayHaveCrashed) await this.broadcastCrash({ endpoint: this.endpoint, fingerprints: [fingerprint] })
      throw error
    }
  }

  override async hasEnded (): Promise<boolean> {
    return await this.service.hasEnded()
  }
}
