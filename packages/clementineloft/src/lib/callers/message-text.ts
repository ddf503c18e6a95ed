/**
 * Checks text from outside before it becomes part of an HTTP message. The parser of the runtime accepts text that the
 * runtime refuses to send, and then throws in the middle of an answer.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http'

const firstFinalStatus = 200
const lastFinalStatus = 599

const isAccepted = (check: () => void): boolean => {
  try {
    check()
    return true
  } catch {
    return false
  }
}

/** @returns whether the text can be the value of a header */
export const isHeaderValue = (text: string): boolean => isAccepted(() => { validateHeaderValue('value', text) })

/**
 * @param headers - names and values, alternating
 * @returns what keeps the headers from being sent; `undefined` if they can be sent
 */
export const findHeaderFault = (headers: readonly string[]): string | undefined => {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const [name, value] = [headers[index] as string, headers[index + 1] as string]
    if (!isAccepted(() => { validateHeaderName(name) })) return `the header name ${JSON.stringify(name)} is not a token`
    if (!isHeaderValue(value)) return `the value of header ${JSON.stringify(name)} has a control character`
  }
  return undefined
}

/** @returns whether the text can be the target of a request: no blanks and no control characters */
export const isRequestTarget = (text: string): boolean => /^[\u0021-\u00ff]+$/.test(text)

/** @returns whether an answer with this status can be the last one to its request */
export const isFinalStatus = (status: number): boolean => status >= firstFinalStatus && status <= lastFinalStatus
