/**
 * Command lines of the program and of the stand-ins.
 */
import { fileURLToPath } from 'node:url'

const resolvePath = (path: string): string => fileURLToPath(new URL(path, import.meta.url))

/** Command that runs a stand-in. */
export const standInCommand = [process.execPath, resolvePath('../stand-in.js')]

/** Command that runs the program: the binary that `CLEMENTINELOFT_BINARY` names, or the compiled sources. */
export const programCommand = process.env['CLEMENTINELOFT_BINARY'] === undefined
  ? [process.execPath, resolvePath('../../../clementineloft/dist/main.js')]
  : [process.env['CLEMENTINELOFT_BINARY']]
