/**
 * Shows that the tests can fail: leaves one mechanism at a time out of a copy of the compiled code and runs the test
 * that guards it, which must then fail.
 */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdirSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'

const mutants = [
  {
    mechanism: 'positions accepted once',
    file: 'routing/dist/lib/stage-session.js',
    from: 'const rows = step.rows.slice(known);',
    to: 'const rows = step.rows;',
    test: 'routing/dist/test/stage-session_test.js'
  },
  {
    mechanism: 'older attempts refused',
    file: 'routing/dist/lib/stage-session.js',
    from: 'if (step.attempt < this.attempt)',
    to: 'if (false)',
    test: 'routing/dist/test/stage-session_test.js'
  },
  {
    mechanism: 'replay from the log',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.sendForwards(alignment.forwardFrom);',
    to: 'this.sendForwards(alignment.forwardFrom.map((from) => from + 1));',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'restart when the log no longer reaches',
    file: 'routing/dist/lib/alignment.js',
    from: 'const isCovered = statuses.every(',
    to: 'const isCovered = true || statuses.every(',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'tokens delivered once',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'frame.tokens.slice(Math.max(0, firstUseful - frame.position))',
    to: 'frame.tokens',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'silent stages probed',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.setTimer(this.options.stallMs, () => { this.probe(); });',
    to: '',
    test: 'routing/dist/test/pipeline-run_property_test.js'
  },
  {
    mechanism: 'claims conditional on the version',
    file: 'coordination/dist/lib/claim-range.js',
    from: 'const previous = state.version === absentVersion ? undefined : state;',
    to: 'const now = await this.record.read(); const previous = now;',
    test: 'coordination/dist/test/at-most-once_property_test.js'
  },
  {
    mechanism: 'claim before the call',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'if (!isGranted)',
    to: 'if (false)',
    test: 'coordination/dist/test/at-most-once_property_test.js'
  },
  {
    mechanism: 'tombstones of resolved calls',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'this.tombstones.add(request);',
    to: '',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'calls called off while their claim is written',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'if (record.isCancelled)',
    to: 'if (false)',
    test: 'coordination/dist/test/at-most-once_property_test.js'
  },
  {
    mechanism: 'tickets bound to one process',
    file: 'coordination/dist/lib/ticket-issuer.js',
    from: 'ticket.incarnation === this.incarnation &&',
    to: '',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'lost answers read back',
    file: 'coordination/dist/lib/store-record.js',
    from: 'if (state?.operations.includes(operation) === true)',
    to: 'if (false)',
    test: 'coordination/dist/test/claim-range_test.js'
  },
  {
    mechanism: 'revisions only grow',
    file: 'coordination/dist/lib/config-replica.js',
    from: 'if (snapshot.revision <= this.getRevision())',
    to: 'if (false)',
    test: 'coordination/dist/test/config-replica_test.js'
  },
  {
    mechanism: 'plans bound to what they touch',
    file: 'coordination/dist/lib/plan-book.js',
    from: 'this.checkUntouched(plan, state.body);',
    to: '',
    test: 'coordination/dist/test/plan-book_test.js'
  },
  {
    mechanism: 'rules checked again on confirming',
    file: 'coordination/dist/lib/plan-book.js',
    from: 'this.checkDocument(state.body.document, document);',
    to: '',
    test: 'coordination/dist/test/plan-book_test.js'
  },
  {
    mechanism: 'leaving remembered against a stale list',
    file: 'coordination/dist/lib/membership.js',
    from: 'this.leavingIncarnations.set(name, incarnation);',
    to: '',
    test: 'coordination/dist/test/membership_test.js'
  },
  {
    mechanism: 'leaving gates refuse new calls',
    file: 'coordination/dist/lib/call-gate.js',
    from: 'this.isLeaving = isLeaving;',
    to: '',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'suspects run alone',
    file: 'routing/dist/lib/engine-executor.js',
    from: 'if (terms.isSuspect)',
    to: 'if (false)',
    test: 'routing/dist/test/engine-executor_test.js'
  },
  {
    mechanism: 'quarantine after two endpoints',
    file: 'routing/dist/lib/crash-register.js',
    from: '>= quarantineCrashes',
    to: '>= 99',
    test: 'routing/dist/test/crash-register_test.js'
  },
  {
    mechanism: 'weights in the queue',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'job.cost / this.getWeight(team)',
    to: 'job.cost',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'queue by cost',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'job.cost / this.getWeight(team)',
    to: '1 / this.getWeight(team)',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'bound on burst credit',
    file: 'routing/dist/lib/fair-queue.js',
    from: 'this.options.burstCredit / this.getWeight(team);',
    to: '1e9;',
    test: 'routing/dist/test/fair-queue_test.js'
  },
  {
    mechanism: 'dynamic thresholds of places',
    file: 'routing/dist/lib/admission.js',
    from: '< this.getFreeFactor(team) * free',
    to: '< Infinity',
    test: 'routing/dist/test/admission_test.js'
  },
  {
    mechanism: 'retry budget',
    file: 'routing/dist/lib/pipeline-run.js',
    from: '&& !this.retryBudget.take()',
    to: '&& false',
    test: 'routing/dist/test/pipeline-run_test.js'
  },
  {
    mechanism: 'endpoints lost earlier used again',
    file: 'routing/dist/lib/pipeline-run.js',
    from: 'this.source.pickReplacement(stage.endpoint, justLost)',
    to: 'undefined',
    test: 'routing/dist/test/pipeline-run_test.js'
  },
  {
    mechanism: 'not run only if every attempt proves it',
    file: 'routing/dist/lib/attempt-outcomes.js',
    from: 'if (this.unknown === undefined ||',
    to: 'if (true ||',
    test: 'routing/dist/test/attempt-outcomes_test.js'
  },
  {
    mechanism: 'lost repeats settled by their key',
    file: 'coordination/dist/lib/call-gate.js',
    from: "const identity = key === '' ?",
    to: 'const identity = true ?',
    test: 'coordination/dist/test/call-gate_test.js'
  },
  {
    mechanism: 'lease checked before an order',
    file: 'coordination/dist/lib/fenced-lease.js',
    from: 'throw createError(ErrorKind.superseded',
    to: 'return this.fence; createError(ErrorKind.superseded',
    test: 'stand-ins/dist/test/engine-orders_test.js'
  },
  {
    mechanism: 'orders read back and corrected',
    file: 'routing/dist/lib/engine-orders.js',
    from: 'this.loaded = await this.engine.readLoaded();\n            const target',
    to: 'this.loaded ??= await this.engine.readLoaded();\n            const target',
    test: 'stand-ins/dist/test/engine-orders_test.js'
  }
]

const folder = resolve('build/mutants')

const copyTree = () => {
  rmSync(folder, { recursive: true, force: true })
  mkdirSync(resolve(folder, 'node_modules/@clementineloft'), { recursive: true })
  for (const name of readdirSync('packages')) {
    cpSync(`packages/${name}`, resolve(folder, 'packages', name), { recursive: true })
    const link = name === 'clementineloft' ? name : `@clementineloft/${name}`
    symlinkSync(resolve(folder, 'packages', name), resolve(folder, 'node_modules', link))
  }
  for (const name of readdirSync('node_modules')) {
    if (name === '@clementineloft' || name === 'clementineloft' || name.startsWith('.')) continue
    symlinkSync(resolve('node_modules', name), resolve(folder, 'node_modules', name))
  }
}

const runTest = (test) => spawnSync(process.execPath, ['--test', resolve(folder, 'packages', test)], { encoding: 'utf8', timeout: 300_000 })

copyTree()
let failures = 0
console.log('| mechanism left out | test | result |')
console.log('| --- | --- | --- |')
for (const test of new Set(mutants.map((mutant) => mutant.test))) {
  if (runTest(test).status === 0) continue
  failures++
  console.log(`| - | ${test} | fails with every mechanism in place |`)
}
for (const { mechanism, file, from, to, test } of mutants) {
  const path = resolve(folder, 'packages', file)
  const source = readFileSync(path, 'utf8')
  if (!source.includes(from)) throw new Error(`${file} does not contain: ${from}`)
  writeFileSync(path, source.replace(from, to))
  const isCaught = runTest(test).status !== 0
  writeFileSync(path, source)
  if (!isCaught) failures++
  console.log(`| ${mechanism} | ${test.replace('/dist/', '/src/').replace('.js', '.ts')} | ${isCaught ? 'test fails' : 'NOT NOTICED'} |`)
}
console.log(failures === 0 ? 'every mechanism left out was noticed' : `${failures} problem(s)`)
process.exitCode = failures === 0 ? 0 : 1
