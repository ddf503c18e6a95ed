/**
 * The program.
 */
import { runCommandLine } from './lib/command-line.js'

void runCommandLine(process.argv)
