/**
 * Whether the engine beside a sidecar answers.
 *
 * Answers an engine that crashes or hangs while entries keep sending: after a fault no request is taken until the engine
 * has answered a check.
 */
import { ErrorKind, getErrorKind } from '@clementineloft/kernel'
import type { Clock, Journal } from '@clementineloft/kernel'
import type { ModelEngine } from './model-engine.js'

/** Time between two checks of an engine that is down, in milliseconds. */
const engineCheckMs = 500

/** Kinds of errors after which an engine must show that it answers. */
const engineFaults: ReadonlySet<ErrorKind> = new Set([ErrorKind.endpointFailed, ErrorKind.deadline])

/** Watches one engine. */
export class EngineWatch {
  private isEngineDown = false

  /** @param endpoint - name of the endpoint */
  constructor (
    private readonly endpoint: string,
    private readonly engine: ModelEngine,
    private readonly clock: Clock,
    private readonly journal: Journal
  ) {}

  /** @returns whether the engine has failed and not answered a check since */
  isDown (): boolean {
    return this.isEngineDown
  }

  /** Takes note of an error of the engine. */
  noteError (error: unknown): void {
    if (engineFaults.has(getErrorKind(error))) void this.waitForAnswer()
  }

  private async waitForAnswer (): Promise<void> {
    if (this.isEngineDown) return
    this.isEngineDown = true
    this.journal.record({ name: 'engine-down', endpoint: this.endpoint })
    while (this.isEngineDown) {
      await this.clock.wait(engineCheckMs)
      this.isEngineDown = await this.engine.check().then(() => false, () => true)
    }
    this.journal.record({ name: 'engine-up', endpoint: this.endpoint })
  }
}
