/**
 * Generates the codecs of the messages between processes from the `.proto` files. The generated files are committed.
 */
import { execFileSync } from 'node:child_process'
import { readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { basename } from 'node:path'

const folder = 'packages/clementineloft'

for (const file of readdirSync(`${folder}/proto`)) {
  const name = basename(file, '.proto')
  const target = `${folder}/generated/${name}`
  execFileSync('npx', [
    'pbjs', '-t', 'static-module', '-w', 'es6', '-r', name, '--no-create', '--no-verify', '--no-delimited', '--no-service',
    '--keep-case', '-o', `${target}.js`, `${folder}/proto/${file}`
  ])
  const generated = readFileSync(`${target}.js`, 'utf8')
    .replace('import * as $protobuf from "protobufjs/minimal"', 'import $protobuf from "protobufjs/minimal.js"')
  writeFileSync(`${target}.js`, generated)
  execFileSync('npx', ['pbts', '-o', `${target}.d.ts`, `${target}.js`])
}
