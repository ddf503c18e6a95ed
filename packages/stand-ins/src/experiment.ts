/**
 * Runs an experiment from a settings file: `experiment.js FILE [--pictures FOLDER]`.
 */
import { basename } from 'node:path'
import { cac } from 'cac'
import { getErrorMessage } from '@clementineloft/kernel'
import { loadExperiment } from './experiment/experiment-settings.js'
import { runExperiment } from './experiment/run-experiment.js'
import { writePicture } from './measure/picture.js'
import { formatTable } from './measure/table.js'

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const runFile = async (file: string, folder: string | undefined): Promise<void> => {
  const { table, violations } = await runExperiment(loadExperiment(file))
  print(formatTable(table))
  for (const line of violations) print(`BROKEN: ${line}`)
  if (folder !== undefined) await writePicture(table, { label: 0, values: [2, 3, 4], axis: 'calls' }, folder, basename(file, '.toml'))
  process.exitCode = violations.length === 0 ? 0 : 1
}

const program = cac('experiment')
program.command('<file>', 'Runs the load of a settings file on the emulated platform, and prints a table with a row for each second')
  .option('--pictures <folder>', 'also draw the table as a picture into this folder')
  .action((file: string, { pictures }: { pictures?: string }) => {
    runFile(file, pictures).catch((error: unknown) => {
      process.stderr.write(`experiment: ${getErrorMessage(error)}\n`)
      process.exitCode = 1
    })
  })
program.help()
program.parse()
