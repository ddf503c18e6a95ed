/**
 * Parses the settings of a process from TOML and validates them against a schema, with all errors reported together.
 */
import { parse, TomlError } from 'smol-toml'
import type * as z from 'zod'
import { createError, ErrorKind, getErrorMessage } from './errors.js'

/** One error in a settings file. */
export interface SettingsIssue {
  /** Line in the file, counted from 1; 0 if the key is missing. */
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
 * Finds all errors in a settings text.
 *
 * @param text - TOML text
 * @param schema - schema of the settings
 * @returns the errors found, and the settings if there are none
 */
export const checkSettings = <T>(
  text: string,
  schema: z.ZodType<T>
): { issues: SettingsIssue[], settings?: T } => {
  let document: unknown
  try {
    document = parse(text)
  } catch (error) {
    const line = error instanceof TomlError ? error.line : 0
    return { issues: [{ line, key: '', expected: `valid TOML (${getErrorMessage(error).split('\n')[0]})` }] }
  }
  const result = schema.safeParse(document)
  if (result.success) return { issues: [], settings: result.data }
  const issues = result.error.issues.flatMap((issue): SettingsIssue[] => {
    const keys = issue.code === 'unrecognized_keys' ? issue.keys : [undefined]
    return keys.map((extra) => {
      const path = extra === undefined ? issue.path : [...issue.path, extra]
      const expected = extra === undefined ? issue.message : 'no such key; remove it or correct its name'
      return { line: findLine(text, path), key: path.join('.'), expected }
    })
  })
  return { issues }
}

/**
 * @param issue - an error in a settings file
 * @returns one line of text with the line number, the key and what was expected
 */
export const formatIssue = (issue: SettingsIssue): string =>
  `${issue.line > 0 ? `line ${issue.line}` : 'missing'}: ${issue.key === '' ? 'file' : `"${issue.key}"`}: ${issue.expected}`

/**
 * @param text - TOML text
 * @param schema - schema of the settings
 * @returns the settings
 * @throws `settings-invalid` with a list of all errors
 */
export const parseSettings = <T>(text: string, schema: z.ZodType<T>): T => {
  const { issues: faults, settings } = checkSettings(text, schema)
  if (settings !== undefined) return settings
  throw createError(ErrorKind.settingsInvalid, `settings have ${faults.length} error(s):\n${faults.map(formatIssue).join('\n')}`)
}
