/**
 * Loads and validates a settings file.
 */
import { parseSettings } from '@clementineloft/kernel'
import { readSettingsFile } from './read-settings-file.js'
import { settingsSchema } from './settings-schema.js'
import type { Settings } from './settings-schema.js'

/**
 * @param file - path of a settings file
 * @returns the settings
 * @throws `settings-invalid` with all errors of the file
 */
export const loadSettings = (file: string): Settings => parseSettings(readSettingsFile(file), settingsSchema)
