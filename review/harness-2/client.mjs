/**
 * Stand-in of a client: sends one request on a connection of its own.
 */
import { request as openRequest } from 'node:http'

/**
 * @param agent - connections to keep and use again; absent for a connection of its own
 * @returns status, headers and body of the answer; status 0 if there was none
 */
export const sendRequest = ({ address, port, method = 'GET', path, headers, body, timeoutMs = 5000, agent = false }) => new Promise((resolve) => {
  const sentMs = Date.now()
  const request = openRequest({ host: address, port, method, path, headers, agent, timeout: timeoutMs }, (response) => {
    const chunks = []
    response.on('data', (chunk) => { chunks.push(chunk) })
    response.on('error', () => {})
    response.on('close', () => {
      resolve({ sentMs, status: response.complete ? response.statusCode : 0, headers: response.headers, body: Buffer.concat(chunks).toString() })
    })
  })
  const fail = (error) => { resolve({ sentMs, status: 0, headers: {}, body: '', error: String(error) }) }
  request.on('error', fail)
  request.on('timeout', () => { request.destroy(new Error('no answer in time')) })
  request.end(body)
})

let nextId = 0
const idPrefix = Date.now().toString(16)

/** @returns a new identity of an attempt */
export const createAttemptId = () => `${idPrefix}${(nextId++).toString(16).padStart(6, '0')}`
