/**
 * Mutation testing: disables one mechanism at a time in a copy of the compiled code and runs the test that covers it. The
 * test must fail; otherwise it would not detect the loss of the mechanism.
 */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdirSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { mutants } from './mutants.js'

const folder = resolve('build/mutants')

const copyTree = () => {
  rmSync(folder, { recursive: true, force: true })
  mkdirSync(resolve(folder, 'node_modules/@clementineloft'), { recursive: true })
  for (const name of readdirSync('packages')) {
    cpSync(`packages/${name}`, resolve(folder, 'packages', name), { recursive: true })
    const link = name === 'clementineloft' ? name : `@clementineloft/${name}`
    symlinkSync(resolve(folder, 'packages', name), resolve(folder, 'node_modules', link))
  }
  cpSync('platform', resolve(folder, 'platform'), { recursive: true })
  symlinkSync(resolve(folder, 'platform'), resolve(folder, 'node_modules/@clementineloft/platform'))
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
