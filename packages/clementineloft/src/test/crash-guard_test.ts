import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createError, ErrorKind, getErrorKind, getErrorOutcome, ManualClock, Outcome } from '@clementineloft/kernel'
import { CrashRegister } from '@clementineloft/routing'
import type { CrashReport } from '@clementineloft/routing'
import { PlainService } from '../lib/adapters/plain-service.js'
import type { ServiceAnswer, ServiceCall } from '../lib/adapters/plain-service.js'
import { CrashGuard } from '../lib/endpoints/crash-guard.js'

const createCall = (team: string, content: string): ServiceCall => ({
  request: 'r', scope: `desk/${team}`, key: '', fingerprint: content, isIdempotent: true, team, service: 'desk', method: 'GET', deadlineMs: 1000, path: '/', headers: [], body: new Uint8Array()
})

/** Service that loses its connection to every call with the content `deadly`. */
class FragileService extends PlainService {
  runs = 0
  isAliveAfterLoss = false

  override async run (call: ServiceCall): Promise<ServiceAnswer> {
    this.runs++
    if (call.fingerprint !== 'deadly') return { status: 200, headers: [], body: '' }
    throw createError(ErrorKind.endpointFailed, 'connection closed', { outcome: Outcome.unknown })
  }

  override async hasEnded (): Promise<boolean> {
    return !this.isAliveAfterLoss
  }
}

/** Guards of several endpoints whose reports reach all of them, as with gossip. */
const createGuards = (count: number, service: FragileService): CrashGuard[] => {
  const registers = Array.from({ length: count }, () => new CrashRegister(new ManualClock()))
  const broadcast = async (report: CrashReport): Promise<void> => {
    for (const register of registers) register.record(report)
  }
  return registers.map((register, index) => new CrashGuard(service, `desk-${index}`, register, broadcast))
}

const collectErrors = async (guards: readonly CrashGuard[], call: ServiceCall): Promise<unknown[]> => {
  const errors: unknown[] = []
  for (const guard of guards) await guard.run(call).catch((error: unknown) => { errors.push(error) })
  return errors
}

test('a call that has crashed two plain services runs at no third one, and other calls of the team do', async () => {
  const service = new FragileService()
  const guards = createGuards(4, service)
  const errors = await collectErrors(guards, createCall('a', 'deadly'))
  assert.equal(service.runs, 2)
  assert.deepEqual(errors.map(getErrorKind), ['endpoint-failed', 'endpoint-failed', 'quarantined', 'quarantined'])
  assert.deepEqual(errors.slice(2).map(getErrorOutcome), ['not-run', 'not-run'])
  assert.deepEqual(await collectErrors(guards, createCall('a', 'sound')), [])
  assert.deepEqual((await collectErrors(guards, createCall('b', 'deadly'))).map(getErrorKind).slice(0, 2), ['endpoint-failed', 'endpoint-failed'], 'known by team and content')
})

test('a lost answer of a service that runs on accuses no call', async () => {
  const service = new FragileService()
  service.isAliveAfterLoss = true
  await collectErrors(createGuards(4, service), createCall('a', 'deadly'))
  assert.equal(service.runs, 4)
})
