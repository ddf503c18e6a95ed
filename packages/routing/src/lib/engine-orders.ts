/**
 * Keeps what an engine has loaded equal to what the configuration wants.
 *
 * An order states the whole target and carries a fencing number. Some engines refuse an old number; others ignore it, so
 * the loaded state is read back and corrected for as long as this process holds the lease.
 */
import { ErrorKind, getErrorKind, getErrorMessage } from '@clementineloft/kernel'
import type { Clock, Journal } from '@clementineloft/kernel'

const checkIntervalMs = 2000

/** Layers that an engine holds, or shall hold. */
export interface LoadedLayers {
  model: string
  firstLayer: number
  /** Last layer, included. */
  lastLayer: number
}

/** Takes orders on behalf of an engine. */
export abstract class OrderedEngine {
  /** @returns what the engine has loaded, or `undefined` if nothing */
  abstract readLoaded (): Promise<LoadedLayers | undefined>

  /**
   * Orders the engine to load layers in place of what it has.
   *
   * @param target - the whole target
   * @param fence - fencing number of the holder
   * @throws `superseded` if the engine has seen a higher number
   */
  abstract load (target: LoadedLayers, fence: number): Promise<void>

  /** @returns whether the engine was carrying out an order when it was last read; no order is given meanwhile */
  isLoading (): boolean {
    return false
  }
}

/** @returns whether two states are the same */
export const hasSameLayers = (a: LoadedLayers | undefined, b: LoadedLayers | undefined): boolean =>
  a?.model === b?.model && a?.firstLayer === b?.firstLayer && a?.lastLayer === b?.lastLayer

/** Gives orders to one engine. */
export class EngineOrders {
  private loaded: LoadedLayers | undefined
  private isSuperseded = false
  private isStopped = false
  private lastFault = ''

  /**
   * @param endpoint - name of the endpoint
   * @param confirmLease - gives the fencing number while this process holds the lease, and throws `superseded` after
   * @param getTarget - what the configuration wants at present; `undefined` for no orders
   */
  constructor (
    private readonly endpoint: string,
    private readonly engine: OrderedEngine,
    private readonly confirmLease: () => Promise<number>,
    private readonly getTarget: () => LoadedLayers | undefined,
    private readonly clock: Clock,
    private readonly journal: Journal
  ) {}

  /** @returns whether the engine was last seen with these layers loaded */
  isLoaded (layers: LoadedLayers): boolean {
    return hasSameLayers(this.loaded, layers)
  }

  /** @returns whether another process gives the orders now */
  isReplaced (): boolean {
    return this.isSuperseded
  }

  /** Checks and corrects until stopped or replaced. */
  async run (): Promise<void> {
    while (!this.isStopped && !this.isSuperseded) {
      await this.reconcile()
      await this.clock.wait(checkIntervalMs)
    }
  }

  /** Ends {@link run} after its present step. */
  stop (): void {
    this.isStopped = true
  }

  /** Reads what is loaded, and gives an order if it is not what is wanted. */
  async reconcile (): Promise<void> {
    try {
      this.loaded = await this.engine.readLoaded()
      this.lastFault = ''
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
      if (detail !== this.lastFault) this.journal.record({ name, endpoint: this.endpoint, detail })
      this.lastFault = detail
    }
  }
}
