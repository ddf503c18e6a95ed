/**
 * An ESLint rule that requires the names of functions and methods to begin with a verb from docs/VERBS.md.
 */
import { readFileSync } from 'node:fs'

const verbs = new Set(
  readFileSync(new URL('../docs/VERBS.md', import.meta.url), 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('| ') && !line.startsWith('| verb') && !line.startsWith('| ---'))
    .flatMap((line) => line.split('|')[1].split(',').map((verb) => verb.trim()))
)

const getFirstWord = (name) => /^[a-z]+/.exec(name)?.[0] ?? ''

const isFunction = (node) => node?.type === 'ArrowFunctionExpression' || node?.type === 'FunctionExpression'

export const verbRule = {
  meta: { type: 'suggestion', schema: [], messages: { verb: 'name "{{name}}" does not begin with a verb from docs/VERBS.md' } },
  create (context) {
    const check = (node, identifier) => {
      if (identifier?.type !== 'Identifier' || verbs.has(getFirstWord(identifier.name))) return
      context.report({ node, messageId: 'verb', data: { name: identifier.name } })
    }
    return {
      FunctionDeclaration: (node) => { check(node, node.id) },
      VariableDeclarator: (node) => { if (isFunction(node.init)) check(node, node.id) },
      MethodDefinition: (node) => { if (node.kind === 'method' && !node.computed) check(node, node.key) },
      TSAbstractMethodDefinition: (node) => { check(node, node.key) }
    }
  }
}
