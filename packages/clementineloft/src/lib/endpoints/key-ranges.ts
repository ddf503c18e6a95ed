/**
 * Where the claims on an idempotency key are kept.
 */
import { computeHash32, createError, ErrorKind } from '@clementineloft/kernel'
import type { ConfigDocument } from '../operators/config-document.js'

const defaultWritesPerSecond = 200
const millisecondsPerSecond = 1000

/** The range that a key belongs to. */
export interface KeyRange {
  /** Key of the range's object in the store. */
  storeKey: string
  /** Least time between two writes of the range, in milliseconds. */
  writeIntervalMs: number
}

/** @returns a number that every process computes alike for a key */
export const computeRangeIndex = (scopedKey: string, keyRanges: number): number => computeHash32(scopedKey) % keyRanges

/**
 * Finds the range of a key.
 *
 * @param document - the configuration in force; `undefined` if there is none yet
 * @param service - name of the service
 * @param scopedKey - the idempotency key with what scopes it
 * @throws `not-ready` if the number of ranges is not known; to guess it would miss the claims of others
 */
export const findKeyRange = (document: ConfigDocument | undefined, service: string, scopedKey: string): KeyRange => {
  const config = document?.services[service]
  if (config === undefined) throw createError(ErrorKind.notReady, `the key ranges of service "${service}" are not known here yet`)
  const { keyRanges, claimWritesPerSecond = defaultWritesPerSecond } = config
  return {
    storeKey: `claims/${service}/${computeRangeIndex(scopedKey, keyRanges)}`,
    writeIntervalMs: millisecondsPerSecond * keyRanges / claimWritesPerSecond
  }
}
