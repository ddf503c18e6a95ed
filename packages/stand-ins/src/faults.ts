/**
 * Brings failures about on real processes and prints what came of each. `faults.js NAME…` runs only cases whose name
 * holds one of the names.
 */
import { readFileSync } from 'node:fs'
import { callSuite } from './faults/call-faults.js'
import { streamSuite } from './faults/stream-faults.js'
import { systemSuite } from './faults/system-faults.js'
import type { FaultCase, FaultResult, FaultSuite } from './faults/fault-case.js'

const suites: FaultSuite[] = [streamSuite, callSuite, systemSuite]
const wanted = process.argv.slice(2)

/** Names of cases that are listed as red; they run and are printed, and do not count. */
const knownRed = new Set([...readFileSync(new URL('../../../KNOWN-RED.txt', import.meta.url), 'utf8').matchAll(/^faults: (.+)$/gm)].map((match) => match[1]))

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const isWanted = (fault: FaultCase): boolean => wanted.length === 0 || wanted.some((name) => fault.name.includes(name))

const formatRecovery = (recoveryMs: readonly number[]): string => {
  if (recoveryMs.length === 0) return '-'
  const sorted = [...recoveryMs].sort((a, b) => a - b)
  const median = sorted[Math.floor(sorted.length / 2)] as number
  return `${median.toFixed(0)} / ${(sorted.at(-1) as number).toFixed(0)} ms`
}

const judge = (fault: FaultCase, result: FaultResult): boolean => {
  const bound = fault.recoveryBoundMs
  return result.isKept && (bound === undefined || Math.max(...result.recoveryMs) <= bound)
}

const runSuite = async (suite: FaultSuite): Promise<number> => {
  const cases = suite.cases.filter(isWanted)
  if (cases.length === 0) return 0
  const fleet = suite.createFleet()
  let failures = 0
  try {
    await fleet.start()
    for (const fault of cases) {
      const result = await fault.run(fleet)
      const isPassed = judge(fault, result)
      const isKnown = knownRed.has(fault.name)
      if (!isPassed && !isKnown) failures++
      if (isKnown) print(`listed in KNOWN-RED.txt: ${fault.name}`)
      print(`| ${suite.name} | ${fault.name} | ${fault.injectedFault} | ${isPassed ? 'kept' : 'BROKEN'}: ${result.seen} | ${formatRecovery(result.recoveryMs)} | ${fault.recoveryBoundMs ?? '-'} |`)
    }
  } catch (error) {
    failures++
    print(`${suite.name}: ${error instanceof Error ? error.stack : String(error)}; logs are in ${fleet.processes.folder}`)
  } finally {
    await fleet.stop()
  }
  return failures
}

print('| promise | case | what was done | result | recovery p50 / max | bound ms |')
print('| --- | --- | --- | --- | --- | --- |')
let failed = 0
for (const suite of suites) failed += await runSuite(suite)
print(failed === 0 ? 'no case failed that is not listed in KNOWN-RED.txt' : `${failed} case(s) failed`)
process.exitCode = failed === 0 ? 0 : 1
