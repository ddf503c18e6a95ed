import assert from 'node:assert/strict'
import { test } from 'node:test'
import * as z from 'zod'
import { checkSettings, formatIssue } from '@clementineloft/kernel'

const schema = z.strictObject({
  name: z.string('expected a name'),
  limits: z.strictObject({ most: z.int('expected a whole number') })
})

test('all errors in a settings text are reported together, each with its line', () => {
  const { issues: faults } = checkSettings('[limits]\nmost = "many"\nleast = 1\n', schema)
  const lines = faults.map(formatIssue)
  assert.equal(lines.length, 3)
  assert.ok(lines.includes('missing: "name": expected a name'))
  assert.ok(lines.includes('line 2: "limits.most": expected a whole number'))
  assert.ok(lines.includes('line 3: "limits.least": no such key; remove it or correct its name'))
})

test('text that is not valid TOML gives one error with its line', () => {
  const { issues: faults } = checkSettings('name = "a"\nlimits = = 1\n', schema)
  assert.equal(faults.length, 1)
  assert.equal(faults[0]?.line, 2)
})
