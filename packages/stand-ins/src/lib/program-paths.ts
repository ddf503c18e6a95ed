/**
 * Where the program and the stand-ins are.
 */
import { fileURLToPath } from 'node:url'

const resolve = (path: string): string => fileURLToPath(new URL(path, import.meta.url))

/** Command that runs a stand-in. */
export const standInCommand = [process.execPath, resolve('../stand-in.js')]

/** Command that runs the program: the binary that `CLEMENTINELOFT_BINARY` names, or the compiled sources. */
export const programCommand = process.env['CLEMENTINELOFT_BINARY'] === undefined
  ? [process.execPath, resolve('../../../clementineloft/dist/main.js')]
  : [process.env['CLEMENTINELOFT_BINARY']]
