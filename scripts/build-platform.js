/**
 * Bundles the program for the users' platform from the TypeScript sources into `target/`. Code splitting lets each role
 * load only the files that it needs.
 */
import { rmSync } from 'node:fs'
import { buildSync } from 'esbuild'

const getSource = (name, file = 'index') => `./packages/${name}/src/${file}.ts`

rmSync('target', { recursive: true, force: true })
buildSync({
  entryPoints: { clementineloft: 'platform/src/main.ts' },
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  alias: {
    '@clementineloft/kernel': getSource('kernel'),
    '@clementineloft/coordination': getSource('coordination'),
    '@clementineloft/routing': getSource('routing'),
    'clementineloft/forwarding': getSource('clementineloft', 'forwarding')
  },
  logLevel: 'warning'
})
