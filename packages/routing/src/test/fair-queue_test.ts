import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FairQueue } from '@clementineloft/routing'

const serve = (queue: FairQueue, jobs: Map<unknown, { team: string, cost: number }>, cost: number): Map<string, number> => {
  const served = new Map<string, number>()
  for (let spent = 0; spent < cost;) {
    const job = jobs.get(queue.dequeue())
    if (job === undefined) break
    spent += job.cost
    served.set(job.team, (served.get(job.team) ?? 0) + job.cost)
  }
  return served
}

const fill = (queue: FairQueue, teams: Record<string, { jobs: number, cost: number }>): Map<unknown, { team: string, cost: number }> => {
  const jobs = new Map<unknown, { team: string, cost: number }>()
  for (const [team, { jobs: count, cost }] of Object.entries(teams)) {
    for (let index = 0; index < count; index++) {
      const run = async (): Promise<void> => {}
      jobs.set(run, { team, cost })
      queue.enqueue(run, { team, cost })
    }
  }
  return jobs
}

test('shares follow weights, independent of the number and length of jobs', () => {
  const weights: Record<string, number> = { a: 3, b: 1 }
  const queue = new FairQueue((team) => weights[team] as number)
  const served = serve(queue, fill(queue, { a: { jobs: 3000, cost: 10 }, b: { jobs: 200, cost: 100 } }), 20_000)
  const share = (served.get('a') as number) / 20_000
  assert.ok(Math.abs(share - 0.75) < 0.02, `share of a is ${share}`)
})

test('the first job of a new team is served at once although another team has a long backlog', () => {
  const queue = new FairQueue(() => 1)
  const jobs = fill(queue, { flood: { jobs: 1000, cost: 100 } })
  serve(queue, jobs, 5000)
  const runNewcomer = async (): Promise<void> => {}
  queue.enqueue(runNewcomer, { team: 'new', cost: 1 })
  const next = [queue.dequeue(), queue.dequeue()]
  assert.ok(next.includes(runNewcomer))
})

test('a changed weight applies to jobs that are already queued', () => {
  const weights: Record<string, number> = { a: 1, b: 1 }
  const queue = new FairQueue((team) => weights[team] as number)
  const jobs = fill(queue, { a: { jobs: 2000, cost: 1 }, b: { jobs: 2000, cost: 1 } })
  serve(queue, jobs, 200)
  weights['a'] = 9
  const served = serve(queue, jobs, 1000)
  assert.ok((served.get('a') as number) > 850)
})

test('a team gains no credit while idle if the burst credit is 0', () => {
  const queue = new FairQueue(() => 1)
  const jobs = fill(queue, { busy: { jobs: 1000, cost: 1 } })
  serve(queue, jobs, 500)
  for (const [run, job] of fill(queue, { late: { jobs: 500, cost: 1 } })) jobs.set(run, job)
  const served = serve(queue, jobs, 200)
  assert.ok(Math.abs((served.get('late') as number) - 100) <= 1)
})

test('a team that was idle is served ahead of a busy one, for no more work than the burst credit', () => {
  const queue = new FairQueue(() => 1, { burstCredit: 50, quantum: 0 })
  const jobs = fill(queue, { busy: { jobs: 1000, cost: 1 } })
  serve(queue, jobs, 500)
  for (const [run, job] of fill(queue, { late: { jobs: 500, cost: 1 } })) jobs.set(run, job)
  const first = serve(queue, jobs, 50)
  assert.equal(first.get('late'), 50)
  const served = serve(queue, jobs, 200)
  assert.ok(Math.abs((served.get('late') as number) - 100) <= 1)
})

test('a job continues while its team is next or within the quantum, but not ahead of a team with a higher weight', () => {
  const weights: Record<string, number> = { low: 1, equal: 1, high: 1000 }
  const queue = new FairQueue((team) => weights[team] as number, { burstCredit: 0, quantum: 10 })
  fill(queue, { low: { jobs: 1, cost: 5 } })
  queue.dequeue()
  assert.equal(queue.continueIfNext('low', 5), true)
  fill(queue, { equal: { jobs: 1, cost: 5 } })
  assert.equal(queue.continueIfNext('low', 5), true)
  assert.equal(queue.continueIfNext('low', 5), true)
  assert.equal(queue.continueIfNext('low', 5), false)
  const waiting = new FairQueue((team) => weights[team] as number, { burstCredit: 0, quantum: 10 })
  fill(waiting, { low: { jobs: 1, cost: 5 } })
  waiting.dequeue()
  fill(waiting, { high: { jobs: 1, cost: 5 } })
  assert.equal(waiting.continueIfNext('low', 5), false)
})
