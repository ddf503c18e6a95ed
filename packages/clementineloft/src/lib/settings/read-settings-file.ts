/**
 * Reads the text of a settings file, independently of its schema.
 */
import { readFileSync } from 'node:fs'
import { createError, ErrorKind, getErrorMessage } from '@clementineloft/kernel'

/**
 * @param file - path of a file
 * @returns its content
 * @throws `settings-invalid` if it cannot be read
 */
export const readSettingsFile = (file: string): string => {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw createError(ErrorKind.settingsInvalid, `settings file "${file}" cannot be read: ${getErrorMessage(error)}`)
  }
}
