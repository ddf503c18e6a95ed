/**
 * Runs one case: the exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
import { Record } from './record.js'

const maxRunMs = 115_000

/**
 * @param folder - folder of the case
 * @param run - runs the case with the record and whether the disruption takes place; returns the breaks of the rule as
 *   texts, or throws if the case could not run
 */
export const runCase = async (folder, run) => {
  const record = new Record(folder)
  const hasTrouble = process.env.TROUBLE !== '0'
  record.add(hasTrouble ? 'run with the disruption' : 'run without the disruption')
  const timer = setTimeout(() => {
    record.add('could not run: the time limit has passed')
    record.save()
    process.exit(2)
  }, maxRunMs)
  let status = 2
  const deployments = []
  // The processes of the system must not outlive an interrupted run.
  process.once('exit', () => { for (const deployment of deployments) deployment.killProcesses() })
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { process.exit(2) })
  try {
    const breaks = await run(record, hasTrouble, deployments)
    for (const text of breaks) record.add(`BROKEN: ${text}`)
    status = breaks.length > 0 ? 1 : 0
    record.add(status === 1 ? 'the rule was broken' : 'the rule held')
  } catch (error) {
    record.add(`could not run: ${error.stack}`)
  }
  for (const deployment of deployments) await deployment.end()
  clearTimeout(timer)
  record.save()
  process.stdout.write(record.lines.slice(-1)[0] + '\n')
  process.exit(status)
}
