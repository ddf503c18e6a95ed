import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ConfigReplica, MemoryStore, ConfigPlanner, StoreFault, StoreRecord } from '@clementineloft/coordination'
import type { ConfigSnapshot, Plan } from '@clementineloft/coordination'
import { createError, ErrorKind, getErrorKind, ManualClock } from '@clementineloft/kernel'

interface Doc { teams: Record<string, number> }

const createPlanner = async () => {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const record = new StoreRecord<ConfigSnapshot<Doc>>(store, 'config', clock)
  await record.write(undefined, { revision: 1, document: { teams: { a: 1, b: 1 } }, changes: [] }, 'first')
  const replica = new ConfigReplica<Doc>()
  const planner = new ConfigPlanner(store, record, replica, clock, (_, after) => {
    if (Object.keys(after.teams).length === 0) throw createError(ErrorKind.conflict, 'the last team must stay')
  })
  const propose = async (team: string, weight: number | undefined): Promise<Plan> => await planner.propose('change', (document) => {
    if (weight === undefined) delete document.teams[team]
    else document.teams[team] = weight
    return { document, summary: [] }
  })
  return { store, clock, replica, planner, propose }
}

test('of two plans that change the same team one is refused with the conflicting plan as the reason', async () => {
  const { planner, propose } = await createPlanner()
  const [first, second] = [await propose('a', 2), await propose('a', 3)]
  const results = await Promise.allSettled([planner.confirm(first.id), planner.confirm(second.id)])
  assert.equal(results.filter((result) => result.status === 'fulfilled').length, 1)
  const refused = results.find((result) => result.status === 'rejected') as PromiseRejectedResult
  assert.match(String(refused.reason), /was changed by plan/)
})

test('plans that change different teams both take effect', async () => {
  const { planner, propose, replica } = await createPlanner()
  const [first, second] = [await propose('a', 2), await propose('b', 3)]
  await Promise.all([planner.confirm(first.id), planner.confirm(second.id)])
  assert.deepEqual(replica.getDocument(), { teams: { a: 2, b: 3 } })
})

test('two plans that are valid alone but together break a rule are not both confirmed', async () => {
  const { planner, propose } = await createPlanner()
  const [first, second] = [await propose('a', undefined), await propose('b', undefined)]
  await planner.confirm(first.id)
  await assert.rejects(planner.confirm(second.id), /the last team must stay/)
})

test('a confirmation whose answer was lost is read back, and confirming again returns the same revision', async () => {
  const { store, clock, planner, propose } = await createPlanner()
  const plan = await propose('a', 2)
  store.fault = StoreFault.lostAnswers
  const confirming = planner.confirm(plan.id)
  await clock.advanceGradually(5000, 100)
  assert.equal(await confirming, 2)
  store.fault = StoreFault.none
  assert.equal(await planner.confirm(plan.id), 2)
})

test('a confirmation fails with store-unavailable while the store is down', async () => {
  const { store, planner, propose } = await createPlanner()
  const plan = await propose('a', 2)
  store.fault = StoreFault.down
  await assert.rejects(planner.confirm(plan.id), (error) => getErrorKind(error) === ErrorKind.storeUnavailable)
})
