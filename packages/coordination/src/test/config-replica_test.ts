import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ConfigReplica, createNextSnapshot } from '@clementineloft/coordination'
import type { ConfigSnapshot } from '@clementineloft/coordination'

interface Doc { teams: Record<string, number> }

const first: ConfigSnapshot<Doc> = { revision: 1, document: { teams: {} }, changes: [] }

const createHistory = (length: number): Array<ConfigSnapshot<Doc>> => {
  const history = [first]
  for (let index = 1; index < length; index++) {
    const document = { teams: { ...history.at(-1)?.document.teams, [`t${index}`]: index } }
    history.push(createNextSnapshot(history.at(-1) as ConfigSnapshot<Doc>, document, `op${index}`))
  }
  return history
}

test('an older snapshot never replaces a newer one', () => {
  const history = createHistory(4)
  const replica = new ConfigReplica<Doc>()
  const seen: number[] = []
  replica.subscribe((_, revision) => { seen.push(revision) })
  for (const index of [2, 0, 1, 3, 2, 3]) replica.apply({ snapshot: history[index] as ConfigSnapshot<Doc> })
  assert.deepEqual(seen, [3, 4])
})

test('a replica slightly behind gets deltas, one far behind gets the snapshot, and both converge', () => {
  const history = createHistory(100)
  const ahead = new ConfigReplica<Doc>()
  ahead.apply({ snapshot: history[99] as ConfigSnapshot<Doc> })
  for (const start of [95, 10]) {
    const behind = new ConfigReplica<Doc>()
    behind.apply({ snapshot: history[start] as ConfigSnapshot<Doc> })
    const update = ahead.createUpdate(behind.getRevision())
    assert.equal(update.changes !== undefined, start === 95)
    assert.equal(behind.apply(update), true)
    assert.deepEqual(behind.getDocument(), ahead.getDocument())
  }
})

test('deltas with a gap are refused', () => {
  const history = createHistory(5)
  const replica = new ConfigReplica<Doc>()
  replica.apply({ snapshot: first })
  const changes = (history[4] as ConfigSnapshot<Doc>).changes.filter((change) => change.revision !== 3)
  assert.equal(replica.apply({ changes }), false)
  assert.equal(replica.getRevision(), 1)
})
