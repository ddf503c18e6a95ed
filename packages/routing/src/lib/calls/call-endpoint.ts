/**
 * An endpoint as its own entry in the platform's list describes it.
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
  /** Identity of this start of the endpoint. */
  id: string
  /** When this start happened, in milliseconds since the epoch; tells two starts under one identity apart. */
  bornMs: number
  /** Host and port. */
  address: string
  dataCentre: string
  service: string
  /** Whether it takes no new work. */
  isLeaving: boolean
  slots: number
  /** Type of accelerator; absent for plain services. */
  type?: string
  /** Layers that it holds; absent for plain services and empty endpoints. */
  layers?: LayerSpan
}
