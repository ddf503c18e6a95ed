/**
 * What operators can ask for, in their own words.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { ConfigDocument } from '../config-document.js'

/** The outcome of planning: the wanted document, and what to tell the operator. */
export interface IntentResult {
  document: ConfigDocument
  /** What changes, for whom, and at what cost; one line each. */
  summary: string[]
}

/** One kind of request that operators make. */
export abstract class Intent {
  /** Form of the request, for the help text, such as `retire endpoint NAME`. */
  abstract readonly form: string
  /** Matches the request; groups are the arguments of {@link plan}. */
  abstract readonly pattern: RegExp
  /**
   * @param document - the configuration, which may be changed
   * @param args - groups of the pattern
   * @throws `not-found` or `bad-request` that names the culprit
   */
  abstract plan (document: ConfigDocument, args: string[]): IntentResult
}

const intents: Intent[] = []

/** Enters a kind of request into the list. */
export const registerIntent = (intent: Intent): void => { intents.push(intent) }

/** @returns the forms of all requests */
export const listIntentForms = (): string[] => intents.map((intent) => intent.form)

/**
 * Plans a request.
 *
 * @param text - the operator's words
 * @param document - the configuration, which may be changed
 * @throws `bad-request` if the words match no form
 */
export const planIntent = (text: string, document: ConfigDocument): IntentResult => {
  const words = text.trim().replace(/\s+/g, ' ')
  for (const intent of intents) {
    const match = intent.pattern.exec(words)
    if (match !== null) return intent.plan(document, match.slice(1))
  }
  throw createError(ErrorKind.badRequest, `"${words}" is not understood; use one of: ${listIntentForms().join('; ')}`)
}
