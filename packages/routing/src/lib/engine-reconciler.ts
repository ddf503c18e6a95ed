/**
 * Reconciles the layers that an engine has loaded with those that the configuration assigns to it.
 *
 * A load order states the whole target and carries a fencing token. Some engines refuse an outdated token; others ignore
 * tokens, so that a process that has lost the lease could still change the loaded layers. The holder of the lease
 * therefore reads the loaded layers back and corrects them periodically.
 */
import { ErrorKind, getErrorKind, getErrorMessage } from '@clementineloft/kernel'
import type { Clock, Journal } from '@clementineloft/kernel'

const checkIntervalMs = 2000

/** Layers of a model that an engine has loaded or should load. */
export interface ModelLayers {
  model: string
  firstLayer: number
  /** Last layer, included. */
  lastLayer: number
}

/** A client of an engine that loads layers on request. */
export abstract class LoadableEngine {
  /** @returns the layers that the engine has loaded, or `undefined` if none */
  abstract readLoaded (): Promise<ModelLayers | undefined>

  /**
   * Orders the engine to replace its loaded layers.
   *
   * @param target - all layers that the engine should have loaded
   * @param fence - fencing token of the lease holder
   * @throws `superseded` if the engine has seen a higher token
   */
  abstract load (target: ModelLayers, fence: number): Promise<void>

  /** @returns whether the engine was still loading when its state was last read; no order is sent in that case */
  isLoading (): boolean {
    return false
  }
}

/** @returns whether both arguments are the same layers of the same model, or both are `undefined` */
export const hasSameLayers = (a: ModelLayers | undefined, b: ModelLayers | undefined): boolean =>
  a?.model === b?.model && a?.firstLayer === b?.firstLayer && a?.lastLayer === b?.lastLayer

/** Reconciles the loaded layers of one engine. */
export class EngineReconciler {
  private loaded: ModelLayers | undefined
  private isSuperseded = false
  private isStopped = false
  private lastErrorMessage = ''

  /**
   * @param endpoint - name of the endpoint
   * @param confirmLease - returns the fencing token while this process holds the lease; throws `superseded` afterwards
   * @param getTarget - returns the layers that the configuration assigns at present; `undefined` to send no order
   */
  constructor (
    private readonly endpoint: string,
    private readonly engine: LoadableEngine,
    private readonly confirmLease: () => Promise<number>,
    private readonly getTarget: () => ModelLayers | undefined,
    private readonly clock: Clock,
    private readonly journal: Journal
  ) {}

  /** @returns whether the engine had these layers loaded when its state was last read */
  isLoaded (layers: ModelLayers): boolean {
    return hasSameLayers(this.loaded, layers)
  }

  /** @returns whether another process has taken over the engine */
  isReplaced (): boolean {
    return this.isSuperseded
  }

  /** Reconciles periodically until stopped or superseded by another process. */
  async run (): Promise<void> {
    while (!this.isStopped && !this.isSuperseded) {
      await this.reconcile()
      await this.clock.wait(checkIntervalMs)
    }
  }

  /** Ends {@link run} after its current iteration. */
  stop (): void {
    this.isStopped = true
  }

  /** Reads the loaded layers and sends an order if they differ from the target. */
  async reconcile (): Promise<void> {
    try {
      this.loaded = await this.engine.readLoaded()
      this.lastErrorMessage = ''
      const target = this.getTarget()
      if (target === undefined || this.engine.isLoading() || hasSameLayers(this.loaded, target)) return
      const fence = await this.confirmLease()
      await this.engine.load(target, fence)
      this.loaded = await this.engine.readLoaded()
      this.journal.record({ name: 'layers-ordered', endpoint: this.endpoint, detail: `${target.model} ${target.firstLayer}-${target.lastLayer}, fence ${fence}` })
    } catch (error) {
      this.isSuperseded = getErrorKind(error) === ErrorKind.superseded
      const name = this.isSuperseded ? 'orders-superseded' : 'order-failed'
      const detail = getErrorMessage(error)
      if (detail !== this.lastErrorMessage) this.journal.record({ name, endpoint: this.endpoint, detail })
      this.lastErrorMessage = detail
    }
  }
}
