/**
 * Guards against answers of a faulty endpoint that arrive a second time on a connection that is kept for reuse: their bytes
 * must never reach the next call.
 */
import assert from 'node:assert/strict'
import { request as openRequest } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { EndpointAgent } from '../lib/forwarding/endpoint-agent.js'

const formatAnswer = (body: string): string => `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`

/** Server that answers each request with its path, and hands its connections to the test. */
class EchoServer {
  readonly sockets: Socket[] = []
  private readonly server: Server = createServer((socket) => {
    this.sockets.push(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('data', (bytes) => { socket.write(formatAnswer(bytes.toString().split(' ')[1] as string)) })
  })

  async start (): Promise<number> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return (this.server.address() as AddressInfo).port
  }

  stop (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }
}

const send = async (agent: EndpointAgent, port: number, path: string): Promise<string> => {
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    openRequest({ agent, host: '127.0.0.1', port, path }, resolve).on('error', reject).end()
  })
  let body = ''
  for await (const chunk of response) body += String(chunk)
  return body
}

test('an idle connection is used again, and dropped once bytes arrive on it that no call has asked for', async (context) => {
  const server = new EchoServer()
  const agent = new EndpointAgent()
  context.after(() => {
    server.stop()
    agent.destroy()
  })
  const port = await server.start()
  assert.equal(await send(agent, port, '/one'), '/one')
  assert.equal(await send(agent, port, '/two'), '/two')
  assert.equal(server.sockets.length, 1, 'the connection is reused')
  server.sockets[0]?.write(formatAnswer('/two'))
  await wait(50)
  assert.equal(await send(agent, port, '/three'), '/three')
  assert.equal(server.sockets.length, 2, 'the next call has a new connection')
})
