/**
 * Runs the fault soak for a range of seeds and prints the result of each:
 * `soak.js [--seeds N] [--first SEED] [--network A.B]`.
 */
import { cac } from 'cac'
import { regressionSeeds } from './soak/regression-seeds.js'
import { runSoak } from './soak/soak-run.js'

interface SoakOptions {
  seeds: number
  first: number
  network: string
}

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const runSeeds = async ({ seeds, first, network }: SoakOptions): Promise<void> => {
  const drawnSeeds = Array.from({ length: seeds }, (_, index) => first + index)
  let failedSeeds = 0
  for (const seed of [...regressionSeeds.map((entry) => entry.seed), ...drawnSeeds]) {
    const { violations, counts, steps, folder } = await runSoak(seed, network)
    const executedSteps = steps.map(({ action, atMs, durationMs, target, variant }) => `${action} ${target} ${variant} at ${atMs} for ${durationMs}`).join('; ')
    print(`seed ${seed}: ${violations.length === 0 ? 'kept' : 'BROKEN'}; ${counts}`)
    if (violations.length === 0) continue
    failedSeeds++
    for (const line of violations.slice(0, 10)) print(`  ${line}`)
    print(`  done: ${executedSteps}`)
    print(`  logs: ${folder}`)
  }
  print(`${failedSeeds} of ${drawnSeeds.length + regressionSeeds.length} seeds violated a guarantee`)
  process.exitCode = failedSeeds === 0 ? 0 : 1
}

// Exits on a signal, so that the exit handler kills the processes of an interrupted run.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(1) })

const program = cac('soak')
program.command('', 'Injects faults drawn from seeds into a complete system, and checks its answers')
  .option('--seeds <count>', 'number of seeds to run', { default: 3 })
  .option('--first <seed>', 'first seed', { default: 1 })
  .option('--network <numbers>', 'first two octets of all addresses', { default: '127.91' })
  .action(async (options: SoakOptions) => { await runSeeds({ ...options, network: String(options.network) }) })
program.help()
program.parse()
