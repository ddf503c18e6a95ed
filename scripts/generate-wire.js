/**
 * Generates the codec of the messages between processes from `wire.proto`. The result is committed.
 */
import { execFileSync } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'

const folder = 'packages/clementineloft'
const source = `${folder}/proto/wire.proto`
const target = `${folder}/generated/wire`

execFileSync('npx', [
  'pbjs', '-t', 'static-module', '-w', 'es6', '--no-create', '--no-verify', '--no-delimited', '--no-service',
  '--keep-case', '-o', `${target}.js`, source
])
const generated = readFileSync(`${target}.js`, 'utf8')
  .replace('import * as $protobuf from "protobufjs/minimal"', 'import $protobuf from "protobufjs/minimal.js"')
writeFileSync(`${target}.js`, generated)
execFileSync('npx', ['pbts', '-o', `${target}.d.ts`, `${target}.js`])
