/**
 * Verifies the Promela specifications exhaustively with spin. Also verifies each `MUTANT_` variant, which leaves out one
 * guard or makes it wrong: spin must find a counterexample, which shows that the guard is needed.
 */
import { execFileSync } from 'node:child_process'
import { mkdirSync, readFileSync, rmSync } from 'node:fs'
import { resolve } from 'node:path'

const specs = ['claims', 'attempts', 'configuration', 'layout', 'resume', 'detour']
const folder = resolve('build/model')
const maxDepth = 1_000_000

const check = (spec, mutant) => {
  const work = resolve(folder, `${spec}-${mutant ?? 'whole'}`)
  mkdirSync(work, { recursive: true })
  const options = { cwd: work, encoding: 'utf8', maxBuffer: 64 * 1024 * 1024 }
  execFileSync('spin', [...(mutant === undefined ? [] : [`-D${mutant}`]), '-a', resolve(`specs/${spec}.pml`)], options)
  execFileSync('gcc', ['-O2', '-DSAFETY', '-DCOLLAPSE', '-w', '-o', 'pan', 'pan.c'], options)
  const output = execFileSync('./pan', [`-m${maxDepth}`], options)
  if (/max search depth too small|pan: out of memory/.test(output)) throw new Error(`${spec}: the search was cut short\n${output}`)
  const errors = Number(/errors: (\d+)/.exec(output)[1])
  const states = Number(/([\d.e+]+) states, stored/.exec(output)[1])
  return { errors, states }
}

rmSync(folder, { recursive: true, force: true })
let failures = 0
console.log('| specification | guard left out | states | result |')
console.log('| --- | --- | --- | --- |')
for (const spec of specs) {
  const mutants = new Set([...readFileSync(`specs/${spec}.pml`, 'utf8').matchAll(/#ifn?def (MUTANT_\w+)/g)].map((match) => match[1]))
  for (const mutant of [undefined, ...mutants]) {
    const { errors, states } = check(spec, mutant)
    const isExpected = (mutant === undefined) === (errors === 0)
    if (!isExpected) failures++
    const result = errors === 0 ? 'no violation' : 'counterexample'
    console.log(`| ${spec} | ${mutant ?? '-'} | ${states} | ${result}${isExpected ? '' : ' UNEXPECTED'} |`)
  }
}
console.log(failures === 0 ? 'the model holds, and every guard is needed' : `${failures} unexpected result(s)`)
process.exitCode = failures === 0 ? 0 : 1
