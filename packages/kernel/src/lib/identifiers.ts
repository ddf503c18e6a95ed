/**
 * Identifiers that are unique over all processes and restarts, and stable hashes.
 */
import { createHash, randomBytes } from 'node:crypto'

const identifierBytes = 9
const beginsWithLetter = /^[A-Za-z]/

/**
 * @returns a random identifier of 12 characters that are safe in a URL; the first is a letter, since a command line reads
 * a value that begins with `-` as a flag
 */
export const createIdentifier = (): string => {
  const identifier = randomBytes(identifierBytes).toString('base64url')
  return beginsWithLetter.test(identifier) ? identifier : createIdentifier()
}

/**
 * @param text - any text
 * @returns the SHA-256 of the text, in hexadecimal
 */
export const computeDigest = (text: string): string => createHash('sha256').update(text).digest('hex')

/**
 * @param text - any text
 * @returns a whole number from 0 to 2^32 - 1 that depends only on the text
 */
export const computeHash32 = (text: string): number =>
  createHash('sha256').update(text).digest().readUInt32BE(0)
