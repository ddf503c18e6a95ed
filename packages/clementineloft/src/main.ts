/**
 * Entry point of the `clementineloft` command.
 */
import { runCommandLine } from './lib/command-line.js'

void runCommandLine(process.argv)
