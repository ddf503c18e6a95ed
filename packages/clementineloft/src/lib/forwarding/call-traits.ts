/**
 * Identifies what calls have in common: the content that a caller resends under a new identity, and the prompt parts that
 * several calls share.
 */
import { computeDigest } from '@clementineloft/kernel'
import { formatPartTrait } from '@clementineloft/routing'
import type { ForwardedCall } from './call-protocol.js'

/** Length of a digest, in hexadecimal digits: short enough for a datagram, long enough to be unique in a fleet. */
const digestDigits = 16
/** Maximum length of the identity of a prompt part; longer ones are replaced by a digest. */
const maxPartLength = 40
/** Maximum number of prompt parts of one call that are considered. */
const maxParts = 16

const formatPart = (part: string): string => part.length <= maxPartLength ? part : computeDigest(part).slice(0, digestDigits)

/**
 * @param service - service of the call; the same part may be harmless to another model
 * @param team - team of the caller; absent on public routes
 * @returns a digest of team, method, host, target and body, and one trait for each shared prompt part
 */
export const computeCallTraits = (call: ForwardedCall, service: string, team: string | undefined, body: Buffer): string[] => {
  const content = [team ?? '', call.method, call.host, call.target, body.toString('latin1')].join('\n')
  const parts = call.sharedParts?.slice(0, maxParts).map((part) => formatPartTrait(service, formatPart(part))) ?? []
  return [computeDigest(content).slice(0, digestDigits), ...new Set(parts)]
}
