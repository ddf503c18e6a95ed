/**
 * Identifies the content of a call, which a caller resends under a new identity after each failure.
 */
import { computeDigest } from '@clementineloft/kernel'
import type { ForwardedCall } from './call-protocol.js'

/** Length of a fingerprint, in hexadecimal digits: short enough for a datagram, long enough to be unique in a fleet. */
const fingerprintDigits = 16

/**
 * @param team - team of the caller; absent on public routes
 * @returns a digest of team, method, host, target and body
 */
export const computeCallFingerprint = (call: ForwardedCall, team: string | undefined, body: Buffer): string =>
  computeDigest([team ?? '', call.method, call.host, call.target, body.toString('latin1')].join('\n')).slice(0, fingerprintDigits)
