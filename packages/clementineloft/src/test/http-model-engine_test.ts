/**
 * Engines that answer garbage, for another request, too little, late, or not at all.
 */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import type { TestContext } from 'node:test'
import { ErrorKind, getErrorKind, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { isEngineCrash } from '@clementineloft/routing'
import type { EngineStep, StageOutput } from '@clementineloft/routing'
import { HttpModelEngine } from '../lib/adapters/http-model-engine.js'

const timeoutMs = 300

const step: EngineStep = {
  session: 'r.1', model: 'm', firstLayer: 0, lastLayer: 0, isLastStage: false, position: 0, rows: [new Uint8Array([1])]
}

/** Runs one step against an engine that gives a fixed answer; `undefined` for none, `null` to break the connection. */
const runAgainst = async (t: TestContext, answer: string | undefined | null, status = 200): Promise<StageOutput[]> => {
  const server = createServer((request, response) => {
    request.resume()
    if (answer === null) request.socket.destroy()
    else if (answer !== undefined) response.writeHead(status).end(answer)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.after(() => {
    server.close()
    server.closeAllConnections()
  })
  const { port } = server.address() as AddressInfo
  return await new HttpModelEngine(`http://127.0.0.1:${port}`, timeoutMs).runStep(step)
}

const getError = async (running: Promise<unknown>): Promise<unknown> => await running.then(() => undefined, (error: unknown) => error)

test('a sound answer is decoded', async (t) => {
  const answer = JSON.stringify({ results: [{ session: 'r.1', position: 0, rows: ['Ag=='] }] })
  assert.deepEqual([...(await runAgainst(t, answer))[0] as Uint8Array], [2])
})

test('garbage, and answers for another request, are faults but no crashes', async (t) => {
  const answers = ['not JSON', '{"results": 5}', '{"results": []}', JSON.stringify({ results: [{ session: 'other.1', position: 0, rows: [] }] })]
  for (const answer of answers) {
    const error = await getError(runAgainst(t, answer))
    assert.equal(getErrorKind(error), ErrorKind.internal, answer)
    assert.equal(isEngineCrash(error), false, answer)
  }
})

test('a connection that breaks during a step is a crash', async (t) => {
  const error = await getError(runAgainst(t, null))
  assert.equal(isEngineCrash(error), true)
})

test('an engine that cannot be reached is no crash, and nothing ran', async () => {
  const error = await getError(new HttpModelEngine('http://127.0.0.1:1', timeoutMs).runStep(step))
  assert.deepEqual([isEngineCrash(error), getErrorOutcome(error)], [false, Outcome.notRun])
})

test('an engine that does not answer in time fails the step, and is no crash', async (t) => {
  const error = await getError(runAgainst(t, undefined))
  assert.match(String(error), /no answer within 300 ms/)
  assert.equal(isEngineCrash(error), false)
})
