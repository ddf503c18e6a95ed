/**
 * Reads settings files.
 */
import { readFileSync } from 'node:fs'
import { createError, ErrorKind, getErrorMessage, parseSettings } from '@clementineloft/kernel'
import { settingsSchema } from './settings-schema.js'
import type { Settings } from './settings-schema.js'

/**
 * @param file - path of a file
 * @returns its text
 * @throws `settings-invalid` if it cannot be read
 */
export const readSettingsFile = (file: string): string => {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw createError(ErrorKind.settingsInvalid, `settings file "${file}" cannot be read: ${getErrorMessage(error)}`)
  }
}

/**
 * @param file - path of a settings file
 * @returns the settings
 * @throws `settings-invalid` that lists every fault
 */
export const loadSettings = (file: string): Settings => parseSettings(readSettingsFile(file), settingsSchema)
