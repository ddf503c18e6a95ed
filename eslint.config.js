/**
 * JavaScript Standard Style, separate type imports, and function names that begin with a verb from docs/VERBS.md.
 */
import neostandard from 'neostandard'
import { verbRule } from './scripts/verb-rule.js'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', '**/generated/**', 'build/**'] }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: { clementineloft: { rules: { verb: verbRule } } },
    rules: {
      'clementineloft/verb': 'error',
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', disallowTypeAnnotations: false }],
      'import-x/no-default-export': 'error',
      // Enumerations are a constant object and a type of its values under the same name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }]
    }
  }
]
