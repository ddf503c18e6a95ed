/**
 * Counts the copies of each layer in a layout.
 */
import type { LayerSpan } from '../calls/call-endpoint.js'

/** @returns number of spans that hold each layer, by layer */
export const countCopies = (spans: readonly LayerSpan[], layers: number): number[] => {
  const copies = new Array<number>(layers).fill(0)
  for (const { from, to } of spans) {
    for (let layer = from; layer < to; layer++) copies[layer] = (copies[layer] as number) + 1
  }
  return copies
}
