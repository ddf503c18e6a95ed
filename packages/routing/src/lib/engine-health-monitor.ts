/**
 * Tracks whether the engine of a sidecar is healthy.
 *
 * Entries keep sending requests while an engine has crashed or hangs, and each of these requests would fail. After an
 * error that points to the engine, the sidecar therefore refuses requests until a health check succeeds.
 */
import { ErrorKind, getErrorKind } from '@clementineloft/kernel'
import type { Clock, Journal } from '@clementineloft/kernel'
import type { ModelEngine } from './model-engine.js'

/** Interval between health checks of an engine that is down, in milliseconds. */
const checkIntervalMs = 500

/** Kinds of errors after which the engine counts as down until a health check succeeds. */
const unhealthyErrorKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.endpointFailed, ErrorKind.deadline])

/** Tracks the health of one engine. */
export class EngineHealthMonitor {
  private isEngineDown = false

  /** @param endpoint - name of the endpoint */
  constructor (
    private readonly endpoint: string,
    private readonly engine: ModelEngine,
    private readonly clock: Clock,
    private readonly journal: Journal
  ) {}

  /** @returns whether the engine has failed and passed no health check since */
  isDown (): boolean {
    return this.isEngineDown
  }

  /** Records an error of the engine; errors that show that the engine still answers have no effect. */
  recordError (error: unknown): void {
    if (unhealthyErrorKinds.has(getErrorKind(error))) void this.waitForRecovery()
  }

  private async waitForRecovery (): Promise<void> {
    if (this.isEngineDown) return
    this.isEngineDown = true
    this.journal.record({ name: 'engine-down', endpoint: this.endpoint })
    while (this.isEngineDown) {
      await this.clock.wait(checkIntervalMs)
      this.isEngineDown = await this.engine.check().then(() => false, () => true)
    }
    this.journal.record({ name: 'engine-up', endpoint: this.endpoint })
  }
}
