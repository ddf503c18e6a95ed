/**
 * Guards against truncated answers that look complete: an answer without a length is reset half-way, and the reset arrives
 * together with its last bytes.
 */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { after, before, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { ErrorKind, getErrorKind, getErrorOutcome, Outcome, SystemClock } from '@clementineloft/kernel'
import { HttpClient } from '../lib/adapters/http-client.js'
import { EndpointExchanges } from '../lib/forwarding/endpoint-exchange.js'

const repeats = 100
const closeDelimited = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
const framed = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'

let answer: (socket: Socket) => void = () => {}
const server: Server = createServer((socket) => {
  socket.on('error', () => {})
  socket.once('data', () => { answer(socket) })
})

before(async () => { await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) }) })
after(() => { server.close() })

const getAddress = (): string => `127.0.0.1:${(server.address() as AddressInfo).port}`

const sendAndReset = (head: string, delayMs: number | undefined): void => {
  answer = (socket) => {
    socket.write(`${head}half`, () => {
      if (delayMs === undefined) socket.resetAndDestroy()
      else setTimeout(() => { socket.resetAndDestroy() }, delayMs)
    })
  }
}

const sendAndEnd = (head: string, delayMs: number | undefined): void => {
  answer = (socket) => {
    if (delayMs === undefined) socket.end(`${head}half`)
    else socket.write(`${head}half`, () => { setTimeout(() => { socket.end() }, delayMs) })
  }
}

/** @returns whether the exchange takes the answer for complete */
const exchange = async (exchanges: EndpointExchanges): Promise<boolean> => await new Promise((resolve) => {
  const request = { method: 'GET', target: '/', address: getAddress(), headers: ['Host', 'h'], body: Buffer.alloc(0), needsFreshConnection: true, connectTimeoutMs: 1000 }
  const opened = exchanges.open(request, {
    handleHead: (response) => {
      response.resume()
      response.on('close', () => { resolve(response.complete && !opened.hasBeenReset()) })
    },
    handleFailure: () => { resolve(false) }
  })
})

const countComplete = async (): Promise<number> => {
  const exchanges = new EndpointExchanges(new SystemClock())
  let complete = 0
  for (let call = 0; call < repeats; call++) {
    if (await exchange(exchanges)) complete++
  }
  exchanges.close()
  return complete
}

test('an answer without a length that is reset is never complete, whether or not its bytes have been read before', async () => {
  for (const delayMs of [undefined, 0, 2]) {
    sendAndReset(closeDelimited, delayMs)
    assert.equal(await countComplete(), 0, `reset after ${delayMs} ms`)
  }
})

test('an answer without a length that ends in order is complete, whenever its end arrives', async () => {
  for (const delayMs of [undefined, 0, 2]) {
    sendAndEnd(closeDelimited, delayMs)
    assert.equal(await countComplete(), repeats, `end after ${delayMs} ms`)
  }
})

test('an answer with a length is complete once its bytes are there, also if a reset follows them', async () => {
  for (const delayMs of [undefined, 0, 2]) {
    sendAndReset(framed, delayMs)
    assert.equal(await countComplete(), repeats, `reset after ${delayMs} ms`)
  }
})

test('the client of stores, engines and services returns no truncated body, and the outcome of such a call is unknown', async () => {
  const client = new HttpClient()
  const send = async (): Promise<string> => (await client.send({ method: 'GET', url: new URL(`http://${getAddress()}/`), headers: {}, timeoutMs: 1000 })).body.toString()
  for (let call = 0; call < repeats; call++) {
    sendAndReset(closeDelimited, call % 2 === 0 ? undefined : 1)
    const thrown = await send().then((body) => body, (error: unknown) => error)
    assert.deepEqual([getErrorKind(thrown), getErrorOutcome(thrown)], [ErrorKind.endpointFailed, Outcome.unknown])
    sendAndEnd(closeDelimited, call % 2 === 0 ? undefined : 1)
    assert.equal(await send(), 'half')
    sendAndReset(framed, undefined)
    assert.equal(await send(), 'half')
    await wait(0)
  }
})
