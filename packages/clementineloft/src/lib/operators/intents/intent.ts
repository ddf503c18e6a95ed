/**
 * Intents: changes of the configuration that operators request in fixed forms of plain text.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import type { ConfigDocument } from '../config-document.js'

/** Result of planning: the changed configuration and a summary for the operator. */
export interface IntentResult {
  document: ConfigDocument
  /** Lines that say what changes, for whom and with what effect on capacity. */
  summary: string[]
}

/** A kind of intent. */
export abstract class Intent {
  /** Form of the text, for help and errors, such as `retire endpoint NAME`. */
  abstract readonly form: string
  /** Matches the text; its groups are the arguments of {@link plan}. */
  abstract readonly pattern: RegExp
  /**
   * @param document - the configuration, which is changed in place
   * @param args - groups of the pattern
   * @throws `not-found`, `conflict` or `bad-request` with the name of the invalid argument
   */
  abstract plan (document: ConfigDocument, args: string[]): IntentResult
}

const intents: Intent[] = []

/** Registers a kind of intent. */
export const registerIntent = (intent: Intent): void => { intents.push(intent) }

/** @returns the forms of all registered intents */
export const listIntentForms = (): string[] => intents.map((intent) => intent.form)

/**
 * Finds the intent that matches a text and plans the change.
 *
 * @param text - text of the operator's request
 * @param document - the configuration, which is changed in place
 * @throws `bad-request` if the text matches no form
 */
export const planIntent = (text: string, document: ConfigDocument): IntentResult => {
  const normalizedText = text.trim().replace(/\s+/g, ' ')
  for (const intent of intents) {
    const match = intent.pattern.exec(normalizedText)
    if (match !== null) return intent.plan(document, match.slice(1))
  }
  throw createError(ErrorKind.badRequest, `"${normalizedText}" matches no known form; expected one of: ${listIntentForms().join('; ')}`)
}
