/**
 * Partitions idempotency keys into ranges. The claims of one range are stored in one object of the store, and the write
 * rate of each range is limited so that all ranges of a service together stay within its write budget.
 */
import { computeHash32, createError, ErrorKind } from '@clementineloft/kernel'
import type { ConfigDocument } from '../operators/config-document.js'

const defaultWritesPerSecond = 200
const millisecondsPerSecond = 1000

/** The range that a key belongs to. */
export interface KeyRange {
  /** Key of the store object that holds the claims of the range. */
  storeKey: string
  /** Minimum time between two writes of the range, in milliseconds. */
  writeIntervalMs: number
}

/** @returns the index of the range of a key, from 0 to `keyRanges - 1`; all processes compute the same index */
export const computeRangeIndex = (scopedKey: string, keyRanges: number): number => computeHash32(scopedKey) % keyRanges

/**
 * Finds the range of a key.
 *
 * @param document - the current configuration; `undefined` if none has arrived yet
 * @param service - name of the service
 * @param scopedKey - the idempotency key with its scope (service and team)
 * @throws `not-ready` if the number of ranges is not known; a guessed number would miss the claims of other processes
 */
export const findKeyRange = (document: ConfigDocument | undefined, service: string, scopedKey: string): KeyRange => {
  const config = document?.services[service]
  if (config === undefined) throw createError(ErrorKind.notReady, `this instance has no configuration of service "${service}" yet, so its key ranges are not known`)
  const { keyRanges, claimWritesPerSecond = defaultWritesPerSecond } = config
  return {
    storeKey: `claims/${service}/${computeRangeIndex(scopedKey, keyRanges)}`,
    writeIntervalMs: millisecondsPerSecond * keyRanges / claimWritesPerSecond
  }
}
