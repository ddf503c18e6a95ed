/**
 * Standard style, type imports kept apart, and names that begin with a listed verb.
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
      // A constant object and the type of its values share a name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }]
    }
  }
]
