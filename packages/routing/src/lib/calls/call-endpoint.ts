/**
 * An endpoint as described by its own entry in the platform's list.
 */

/** A range of layers. */
export interface LayerSpan {
  /** First layer. */
  from: number
  /** Layer after the last one. */
  to: number
}

/** A live endpoint. */
export interface CallEndpoint {
  /** Identity of this incarnation of the endpoint. */
  id: string
  /** Start time of this incarnation, in milliseconds since the epoch; distinguishes incarnations with the same identity. */
  bornMs: number
  /** Host and port. */
  address: string
  dataCentre: string
  service: string
  /** Whether it accepts no new work. */
  isLeaving: boolean
  slots: number
  /** Type of accelerator; absent for plain services. */
  type?: string
  /** Layers that it holds; absent for plain services and endpoints that hold none. */
  layers?: LayerSpan
}
