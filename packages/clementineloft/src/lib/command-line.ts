/**
 * Command line of `clementineloft`: runs an entry or a sidecar, checks settings and runs the commands for operators.
 */
import { cac } from 'cac'
import { checkSettings, createError, ErrorKind, formatIssue, getErrorMessage } from '@clementineloft/kernel'
import { runEntry } from './callers/entry.js'
import { loadSettings } from './settings/load-settings.js'
import { readSettingsFile } from './settings/read-settings-file.js'
import { runConfirmCommand, runPlanCommand, runStatusCommand, runTimelineCommand } from './operators/operator-commands.js'
import type { TimelineFilter } from './operators/operator-commands.js'
import { ProcessContext } from './peers/process-context.js'
import { settingsSchema } from './settings/settings-schema.js'
import type { Settings } from './settings/settings-schema.js'
import { runSidecar } from './endpoints/sidecar.js'
import './adapters/http-instance-list.js'
import './adapters/http-model-engine.js'
import './adapters/http-object-store.js'
import './adapters/http-loadable-engine.js'
import './adapters/http-plain-service.js'

const version = '0.1.0'

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const runRole = async (role: Settings['role'], file: string): Promise<void> => {
  const settings = loadSettings(file)
  if (settings.role !== role) {
    throw createError(ErrorKind.settingsInvalid, `"${file}" is for role "${settings.role}"; run "clementineloft ${settings.role} ${file}"`)
  }
  const context = new ProcessContext(settings)
  const stop = settings.role === 'entry' ? await runEntry(context, settings) : await runSidecar(context, settings)
  context.log.info({ event: 'started', role, incarnation: context.incarnation })
  let isStopping = false
  const handleSignal = (): void => {
    if (isStopping) return
    isStopping = true
    stop().then(() => { process.exit(0) }, (error: unknown) => {
      context.log.error({ event: 'shutdown-failed', message: getErrorMessage(error) })
      process.exit(1)
    })
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}

const checkSettingsFile = (file: string): void => {
  const { issues } = checkSettings(readSettingsFile(file), settingsSchema)
  if (issues.length === 0) {
    print(`${file}: ok`)
    return
  }
  for (const issue of issues) print(`${file}: ${formatIssue(issue)}`)
  process.exitCode = 1
}

/**
 * Parses the arguments and runs the command. Errors are printed and set the exit code to 1.
 *
 * @param argv - arguments of the process, including the paths of Node and of the script
 */
export const runCommandLine = async (argv: string[]): Promise<void> => {
  const program = cac('clementineloft')
  program.command('entry <settings>', 'Run an entry, which serves callers').action(async (file: string) => { await runRole('entry', file) })
  program.command('sidecar <settings>', 'Run a sidecar, which controls access to its endpoint').action(async (file: string) => { await runRole('sidecar', file) })
  program.command('check <settings>', 'Check a settings file and list all errors').action(checkSettingsFile)
  program.command('status <...admins>', 'Show the state of processes').action(runStatusCommand)
  program.command('plan <admin> <...intent>', 'Show what an intent would change')
    .action(async (admin: string, intent: string[]) => { await runPlanCommand(admin, intent.join(' ')) })
  program.command('confirm <admin> <plan>', 'Apply a plan').action(runConfirmCommand)
  program.command('timeline <...admins>', 'Show the events of processes in causal order')
    .option('--request <id>', 'Only events of one request')
    .option('--team <name>', 'Only events of one team')
    .option('--endpoint <name>', 'Only events of one endpoint')
    .option('--chrome <file>', 'Write the events to a file in the Chrome trace format')
    .action(async (admins: string[], filter: TimelineFilter) => { await runTimelineCommand(admins, filter) })
  program.help()
  program.version(version)
  try {
    program.parse(argv, { run: false })
    if (program.matchedCommand === undefined && program.options['help'] !== true && program.options['version'] !== true) {
      program.outputHelp()
      process.exitCode = 1
      return
    }
    await program.runMatchedCommand()
  } catch (error) {
    process.stderr.write(`clementineloft: ${getErrorMessage(error)}\n`)
    process.exitCode = 1
  }
}
