/**
 * Settings of a process: TOML text checked against a schema, all faults at once.
 */
import { parse, TomlError } from 'smol-toml'
import type * as z from 'zod'
import { createError, ErrorKind, getErrorMessage } from './errors.js'

/** One fault in a settings file. */
export interface SettingsFault {
  /** Line in the file, from 1; 0 where the key is absent. */
  line: number
  /** Dotted key, such as `store.url`. */
  key: string
  expected: string
}

const findLine = (text: string, path: ReadonlyArray<PropertyKey>): number => {
  const lines = text.split('\n')
  const table = path.slice(0, -1).join('.')
  const key = String(path.at(-1) ?? '')
  let currentTable = ''
  for (const [index, line] of lines.entries()) {
    const header = /^\s*\[+\s*([^\]]+?)\s*\]/.exec(line)
    if (header !== null) currentTable = header[1] as string
    if (header !== null && currentTable === path.join('.')) return index + 1
    const assigned = /^\s*([\w-]+)\s*=/.exec(line)
    if (assigned !== null && currentTable === table && assigned[1] === key) return index + 1
  }
  return 0
}

/**
 * Finds every fault in a settings text.
 *
 * @param text - TOML text
 * @param schema - what the settings must look like
 * @returns the faults, and the settings if there are none
 */
export const checkSettings = <T>(
  text: string,
  schema: z.ZodType<T>
): { faults: SettingsFault[], settings?: T } => {
  let raw: unknown
  try {
    raw = parse(text)
  } catch (error) {
    const line = error instanceof TomlError ? error.line : 0
    return { faults: [{ line, key: '', expected: `valid TOML (${getErrorMessage(error).split('\n')[0]})` }] }
  }
  const result = schema.safeParse(raw)
  if (result.success) return { faults: [], settings: result.data }
  const faults = result.error.issues.flatMap((issue): SettingsFault[] => {
    const keys = issue.code === 'unrecognized_keys' ? issue.keys : [undefined]
    return keys.map((extra) => {
      const path = extra === undefined ? issue.path : [...issue.path, extra]
      const expected = extra === undefined ? issue.message : 'no such key; remove it or correct its name'
      return { line: findLine(text, path), key: path.join('.'), expected }
    })
  })
  return { faults }
}

/**
 * @param fault - a fault found in a settings file
 * @returns one line of text that names place, key and expectation
 */
export const formatFault = (fault: SettingsFault): string =>
  `${fault.line > 0 ? `line ${fault.line}` : 'missing'}: ${fault.key === '' ? 'file' : `"${fault.key}"`}: ${fault.expected}`

/**
 * @param text - TOML text
 * @param schema - what the settings must look like
 * @returns the settings
 * @throws `settings-invalid` that lists every fault
 */
export const parseSettings = <T>(text: string, schema: z.ZodType<T>): T => {
  const { faults, settings } = checkSettings(text, schema)
  if (settings !== undefined) return settings
  throw createError(ErrorKind.settingsInvalid, `settings have ${faults.length} fault(s):\n${faults.map(formatFault).join('\n')}`)
}
