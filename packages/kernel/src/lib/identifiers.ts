/**
 * Identifiers that are unique across processes and restarts, and stable hashes.
 */
import { createHash, randomBytes } from 'node:crypto'

const identifierBytes = 9
const leadingLetterPattern = /^[A-Za-z]/

/**
 * @returns a random identifier of 12 URL-safe characters; the first is a letter, because command-line parsers read a
 * value that begins with `-` as a flag
 */
export const createIdentifier = (): string => {
  const identifier = randomBytes(identifierBytes).toString('base64url')
  return leadingLetterPattern.test(identifier) ? identifier : createIdentifier()
}

/**
 * @param text - any text
 * @returns the SHA-256 digest of the text, in hexadecimal
 */
export const computeDigest = (text: string): string => createHash('sha256').update(text).digest('hex')

/**
 * @param text - any text
 * @returns an integer from 0 to 2^32 - 1 that depends only on the text
 */
export const computeHash32 = (text: string): number =>
  createHash('sha256').update(text).digest().readUInt32BE(0)
