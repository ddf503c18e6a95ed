import assert from 'node:assert/strict'
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'

test('the example in the README runs and prints that the second worker is refused', () => {
  const folder = fileURLToPath(new URL('../..', import.meta.url))
  const readme = readFileSync(`${folder}/README.md`, 'utf8')
  const example = /```js\n([\s\S]*?)```/.exec(readme)?.[1] as string
  const output = execFileSync(process.execPath, ['--input-type=module', '-e', example], { cwd: folder, encoding: 'utf8' })
  assert.equal(output.trim(), 'false')
})
