import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { HybridClock, Journal, ManualClock, Metrics, SystemClock } from '@clementineloft/kernel'
import type { CallEndpoint, CrashNotice } from '@clementineloft/routing'
import { CrashMonitor } from '../lib/forwarding/crash-monitor.js'

interface Entry {
  monitor: CrashMonitor
  news: CrashNotice[]
}

const createEntry = (): Entry => {
  const clock = new SystemClock()
  const entry = { monitor: new CrashMonitor(clock, new Journal('entry', new HybridClock(new ManualClock()), 100), new Metrics()), news: [] as CrashNotice[] }
  entry.monitor.subscribe({ handleQuarantine: () => {}, handleNews: (notices) => { entry.news.push(...notices) } })
  return entry
}

/** @returns an endpoint at whose address nothing listens */
const createEndedEndpoint = async (id: string): Promise<CallEndpoint> => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await new Promise((resolve) => { server.close(resolve) })
  return { id, bornMs: 1, address, dataCentre: 'a', service: 's', isLeaving: false, slots: 1 }
}

test('an entry tells the crashes that it saw, passes on none that it was told, and answers those that it can clear', async () => {
  const [seeing, told, clearing] = [createEntry(), createEntry(), createEntry()]
  clearing.monitor.recordAnswer(['call', 's/common'])
  await seeing.monitor.recordLoss({ traits: ['call', 's/common'], endpoint: await createEndedEndpoint('e1'), sentMs: 0, isBeginning: true })
  assert.deepEqual(seeing.news.map(({ trait }) => trait), ['call', 's/common'])
  for (const { monitor } of [told, clearing]) monitor.applyNotices(seeing.news)
  assert.deepEqual(told.news, [])
  assert.ok(told.monitor.computeRefusalMs(['call', 's/common']) > 0)
  assert.deepEqual(clearing.news.map(({ trait }) => trait), ['call', 's/common'])
  told.monitor.applyNotices(clearing.news)
  assert.equal(told.monitor.computeRefusalMs(['call', 's/common']), 0)
})
