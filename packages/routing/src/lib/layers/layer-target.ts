/**
 * Holds the layers that one endpoint should load, from the newest layout received over any channel.
 *
 * Addresses the loss of endpoints while the platform's store rejects requests of single processes: the lease holder sends
 * each sidecar its own assignment directly. Stale assignments, read late from the store or resent by a former holder, are
 * ignored.
 */
import type { LayerSpan } from '../calls/call-endpoint.js'

/** The target of one endpoint. */
export class LayerTarget {
  private revision = 0
  private span: LayerSpan | undefined

  /**
   * Applies an assignment if it is newer than all previous ones.
   *
   * @param revision - revision of the layout that contains the assignment
   * @param span - layers that the layout assigns to the endpoint; `undefined` if it assigns none
   * @returns whether the assignment was newer
   */
  apply (revision: number, span: LayerSpan | undefined): boolean {
    if (revision <= this.revision) return false
    this.revision = revision
    this.span = span
    return true
  }

  /** @returns revision of the current layout, which is the fencing token of orders; 0 if no layout is known */
  getRevision (): number {
    return this.revision
  }

  /** @returns layers that the endpoint should hold; `undefined` if no order is due */
  getSpan (): LayerSpan | undefined {
    return this.span
  }
}
