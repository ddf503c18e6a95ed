/**
 * Mutual TLS between real processes. Guards against peers that accept connections without a client certificate.
 */
import assert from 'node:assert/strict'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { createChannelCredentials, GrpcPeerTransport, ProcessContext } from 'clementineloft/internals'
import type { CommonSettings } from 'clementineloft/internals'
import { isCorrect, streamChat } from '../lib/caller.js'
import { DemoFleet } from '../lib/demo-fleet.js'

const folder = mkdtempSync(join(tmpdir(), 'clementineloft-tls-'))
const tls = { caFile: join(folder, 'ca.pem'), certFile: join(folder, 'cert.pem'), keyFile: join(folder, 'key.pem') }

const runOpenssl = (...args: string[]): void => { execFileSync('openssl', args, { cwd: folder, stdio: 'ignore' }) }

const createCertificates = (): void => {
  runOpenssl('req', '-x509', '-newkey', 'rsa:2048', '-nodes', '-keyout', 'ca-key.pem', '-out', 'ca.pem', '-days', '2', '-subj', '/CN=authority')
  runOpenssl('req', '-newkey', 'rsa:2048', '-nodes', '-keyout', 'key.pem', '-out', 'request.pem', '-subj', '/CN=instance')
  writeFileSync(join(folder, 'extensions'), 'subjectAltName = IP:127.0.0.1\n')
  runOpenssl('x509', '-req', '-in', 'request.pem', '-CA', 'ca.pem', '-CAkey', 'ca-key.pem', '-CAcreateserial', '-out', 'cert.pem', '-days', '2', '-extfile', 'extensions')
}

const fleet = new DemoFleet({ stages: [[0, 3], [4, 7]], workers: 0, tls })

before(async () => {
  createCertificates()
  await fleet.start()
})
after(async () => { await fleet.stop() })

test('a request is served over mutual TLS, and a process without a certificate is refused', async () => {
  const entry = fleet.entries[0] as DemoFleet['entries'][number]
  const answer = await streamChat(entry.url, 'over TLS', 5)
  assert.equal(isCorrect(answer, 'over TLS', fleet.layers, 5), true, `${JSON.stringify(answer)}; logs are in ${fleet.processes.folder}`)
  const settings = {
    instance: { name: 'stranger', data_centre: 'd', address: '127.0.0.1:0', admin_address: '127.0.0.1:0' },
    logs: { level: 'error', format: 'json' }
  } as CommonSettings
  const transport = new GrpcPeerTransport(new ProcessContext(settings), createChannelCredentials())
  await assert.rejects(transport.callPeer(entry.address, ''))
  transport.close()
})
