/**
 * Reads settings files.
 */
import { parseSettings } from '@clementineloft/kernel'
import { readSettingsFile } from './read-settings-file.js'
import { settingsSchema } from './settings-schema.js'
import type { Settings } from './settings-schema.js'

/**
 * @param file - path of a settings file
 * @returns the settings
 * @throws `settings-invalid` that lists every fault
 */
export const loadSettings = (file: string): Settings => parseSettings(readSettingsFile(file), settingsSchema)
