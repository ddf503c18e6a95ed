/**
 * Which layers one endpoint shall hold, by the newest word on it, whichever way that came.
 *
 * Answers the loss of endpoints while the platform's store refuses single processes: the holder of the lease tells each
 * sidecar its own assignment, and what the store says late, or a former holder repeats, changes nothing any more.
 */
import type { LayerSpan } from '../calls/call-endpoint.js'

/** The target of one endpoint. */
export class LayerTarget {
  private revision = 0
  private span: LayerSpan | undefined

  /**
   * Takes over a word that is newer than all before.
   *
   * @param revision - revision of the layout that it comes from
   * @param span - layers that the layout gives the endpoint; `undefined` if it gives it none
   * @returns whether it was newer
   */
  apply (revision: number, span: LayerSpan | undefined): boolean {
    if (revision <= this.revision) return false
    this.revision = revision
    this.span = span
    return true
  }

  /** @returns revision of the layout in force, which is the fencing number of orders; 0 if none is known */
  getRevision (): number {
    return this.revision
  }

  /** @returns layers that the endpoint shall hold; `undefined` if nothing shall be ordered */
  getSpan (): LayerSpan | undefined {
    return this.span
  }
}
