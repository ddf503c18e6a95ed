/**
 * Runs the fault soak over seeds and prints what came of each: `soak.js [--seeds N] [--first SEED] [--network A.B]`.
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
  const drawn = Array.from({ length: seeds }, (_, index) => first + index)
  let failedSeeds = 0
  for (const seed of [...regressionSeeds.map((entry) => entry.seed), ...drawn]) {
    const { broken, counts, steps, folder } = await runSoak(seed, network)
    const executedSteps = steps.map(({ action, atMs, forMs, target, variant }) => `${action} ${target} ${variant} at ${atMs} for ${forMs}`).join('; ')
    print(`seed ${seed}: ${broken.length === 0 ? 'kept' : 'BROKEN'}; ${counts}`)
    if (broken.length === 0) continue
    failedSeeds++
    for (const line of broken.slice(0, 10)) print(`  ${line}`)
    print(`  done: ${executedSteps}`)
    print(`  logs: ${folder}`)
  }
  print(`${failedSeeds} of ${drawn.length + regressionSeeds.length} seeds broke a promise`)
  process.exitCode = failedSeeds === 0 ? 0 : 1
}

// An interrupted run ends its processes as it exits.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(1) })

const program = cac('soak')
program.command('', 'Harms a whole system as seeds say, and checks what callers and endpoints see')
  .option('--seeds <count>', 'how many seeds to run', { default: 3 })
  .option('--first <seed>', 'first seed', { default: 1 })
  .option('--network <numbers>', 'first two numbers of all addresses', { default: '127.91' })
  .action(async (options: SoakOptions) => { await runSeeds({ ...options, network: String(options.network) }) })
program.help()
program.parse()
