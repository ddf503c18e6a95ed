/**
 * Engines that answer with malformed or incomplete data, for another request, late or not at all. These failures must not
 * count as crashes that the request caused; a connection that breaks during a step does.
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

/** Runs one step against an engine with a fixed answer; `undefined` for no answer, `null` to close the connection. */
const runStepAgainst = async (t: TestContext, answer: string | undefined | null, status = 200): Promise<StageOutput[]> => {
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

test('a valid answer is decoded', async (t) => {
  const answer = JSON.stringify({ results: [{ session: 'r.1', position: 0, rows: ['Ag=='] }] })
  assert.deepEqual([...(await runStepAgainst(t, answer))[0] as Uint8Array], [2])
})

test('malformed answers and answers for another request are internal errors but not crashes', async (t) => {
  const answers = ['not JSON', '{"results": 5}', '{"results": []}', JSON.stringify({ results: [{ session: 'other.1', position: 0, rows: [] }] })]
  for (const answer of answers) {
    const error = await getError(runStepAgainst(t, answer))
    assert.equal(getErrorKind(error), ErrorKind.internal, answer)
    assert.equal(isEngineCrash(error), false, answer)
  }
})

test('a connection that breaks during a step counts as a crash', async (t) => {
  const error = await getError(runStepAgainst(t, null))
  assert.equal(isEngineCrash(error), true)
})

test('an unreachable engine does not count as a crash, and the step has not run', async () => {
  const error = await getError(new HttpModelEngine('http://127.0.0.1:1', timeoutMs).runStep(step))
  assert.deepEqual([isEngineCrash(error), getErrorOutcome(error)], [false, Outcome.notRun])
})

test('a step fails when the engine does not answer in time, which does not count as a crash', async (t) => {
  const error = await getError(runStepAgainst(t, undefined))
  assert.match(String(error), /no answer within 300 ms/)
  assert.equal(isEngineCrash(error), false)
})
