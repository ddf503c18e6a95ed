/**
 * Stand-in of a worker that may answer a long request before it has read it, keep the connection and read on later.
 */
import { createServer } from 'node:net'

const headEnd = '\r\n\r\n'

/** A worker of a plain service. It answers all requests with 200. */
export class ReadLaterWorker {
  born = Date.now()
  /** Time from its answer until it reads on, in milliseconds; 0 if it reads a request before it answers. */
  readLaterMs = 0
  /** Number of requests that it answered. */
  answered = 0
  #sockets = new Set()
  #server = createServer((socket) => { this.#serve(socket) })

  constructor ({ id, service, host, port, zone }) {
    Object.assign(this, { id, service, host, port, zone })
  }

  async start () {
    await new Promise((resolve) => { this.#server.listen(this.port, this.host, resolve) })
  }

  close () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  createEntry () {
    const { service, host, port, zone, born } = this
    return { service, address: `${host}:${port}`, zone, version: 'v1', slots: 24, phase: 'ready', coldLeftMs: 0, sequence: 0, born }
  }

  #serve (socket) {
    this.#sockets.add(socket)
    socket.on('error', () => { /* The close event follows. */ })
    socket.on('close', () => { this.#sockets.delete(socket) })
    let head = ''
    let id
    let missingBytes
    socket.on('data', (bytes) => {
      if (missingBytes === undefined) {
        head += bytes.toString('latin1')
        const end = head.indexOf(headEnd)
        if (end === -1) return
        id = /^attempt-id: (\S+)/im.exec(head)?.[1] ?? ''
        missingBytes = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0) - (head.length - end - headEnd.length)
        head = ''
        if (this.readLaterMs > 0 && missingBytes > 0) this.#answerEarly(socket, id)
      } else missingBytes -= bytes.length
      if (missingBytes > 0) return
      missingBytes = undefined
      if (this.readLaterMs === 0) this.#answer(socket, id)
    })
  }

  #answerEarly (socket, id) {
    this.#answer(socket, id)
    socket.pause()
    setTimeout(() => { socket.resume() }, this.readLaterMs)
  }

  #answer (socket, id) {
    this.answered++
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: sig.${this.id}.${id}\r\nContent-Length: 2${headEnd}ok`)
  }
}
