/**
 * Builds the single executable application `build/clementineloft`: bundles the compiled program with esbuild and injects
 * the bundle into a copy of the Node.js binary.
 */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, statSync, writeFileSync } from 'node:fs'
import { buildSync } from 'esbuild'
import postject from 'postject'

const folder = 'build'
const bundle = `${folder}/clementineloft.cjs`
const blob = `${folder}/clementineloft.blob`
const target = `${folder}/clementineloft`
const bytesPerMegabyte = 1_000_000

mkdirSync(folder, { recursive: true })
buildSync({
  entryPoints: ['packages/clementineloft/dist/main.js'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: bundle,
  logLevel: 'error'
})
writeFileSync(`${folder}/sea.json`, JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }))
execFileSync(process.execPath, ['--experimental-sea-config', `${folder}/sea.json`], { stdio: 'ignore' })
copyFileSync(process.execPath, target)
chmodSync(target, 0o755)
await postject.inject(target, 'NODE_SEA_BLOB', readFileSync(blob), {
  sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
})
console.log(`${target}: ${(statSync(target).size / bytesPerMegabyte).toFixed(0)} MB`)
