import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { SystemClock } from '@clementineloft/kernel'
import { ListenProbe } from '../lib/adapters/listen-probe.js'

test('an endpoint that closes every connection at once is alive, one that refuses connections has ended', async () => {
  const server = createServer((socket) => { socket.destroy() })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const probe = new ListenProbe(new SystemClock())
  assert.equal(await probe.isClosed(address), false)
  await new Promise((resolve) => { server.close(resolve) })
  assert.deepEqual(await Promise.all([probe.isClosed(address), probe.isClosed(address)]), [true, true])
})
