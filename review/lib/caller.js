/**
 * Caller of the platform: sends one attempt, also over a kept connection, and reports whether the answer ended as its
 * framing announced.
 */
import { randomBytes } from 'node:crypto'
import { Agent, request as openRequest } from 'node:http'

/** @returns a connection pool of one caller with one connection that is kept between calls */
export const createConnection = () => new Agent({ keepAlive: true, maxSockets: 1 })

/**
 * Sends one attempt. The promise never rejects.
 *
 * @param call - `address`, `host`, `target`, `key`; optionally `method`, `body`, `headers`, `timeoutMs`, `agent`
 * @returns identity, status (0 without an answer), headers, body, whether it is complete, and whether the connection had
 *   served an earlier call
 */
export const sendAttempt = ({ address, host, target, key, method = 'POST', body = '', headers = {}, timeoutMs = 1500, agent = false, handleChunk }) =>
  new Promise((resolve) => {
    const [ip, port] = address.split(':')
    const id = randomBytes(8).toString('hex')
    const answer = { id, status: 0, headers: {}, body: '', isComplete: false, isKept: false, error: '' }
    const outgoing = openRequest({
      host: ip,
      port: Number(port),
      method,
      path: target,
      agent,
      headers: {
        Host: host,
        'Attempt-Id': id,
        'Deadline-Ms': String(timeoutMs),
        Authorization: `Bearer ${key}`,
        ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        ...headers
      }
    })
    let isReset = false
    outgoing.on('socket', (socket) => {
      // Runs before the listener of the HTTP parser, which takes a reset for the end of a body without a length.
      const recordReset = () => { isReset = true }
      // A reset that arrives together with data is reported as an end; the connection has no peer any more in that case.
      const recordEnd = () => { isReset ||= socket.remoteAddress === undefined }
      socket.prependListener('error', recordReset)
      socket.prependListener('end', recordEnd)
      outgoing.once('close', () => {
        socket.off('error', recordReset)
        socket.off('end', recordEnd)
      })
    })
    const timer = setTimeout(() => {
      answer.error = 'the caller left at its deadline'
      outgoing.destroy()
    }, timeoutMs + 1000)
    const finish = () => {
      clearTimeout(timer)
      answer.isKept = outgoing.reusedSocket
      resolve(answer)
    }
    outgoing.on('response', (response) => {
      answer.status = response.statusCode
      answer.headers = response.headers
      response.on('data', (chunk) => {
        answer.body += chunk.toString('latin1')
        handleChunk?.(chunk)
      })
      response.on('error', () => { /* The close event follows. */ })
      response.on('close', () => {
        answer.isComplete = response.complete && !isReset
        finish()
      })
    })
    outgoing.on('error', (error) => {
      answer.error ||= error.code ?? error.message
      finish()
    })
    outgoing.end(method === 'GET' ? undefined : body)
  })
