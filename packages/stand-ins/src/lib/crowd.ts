/**
 * Clients that exceed limits: many connections that each send a head and then the same bytes again and again, and that
 * read what they get, or not at all.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'

/** Number of units that are written at once. */
const unitsPerWrite = 500

/** What each client sends. */
export interface CrowdPlan {
  /** Address to connect to, `ip:port`. */
  address: string
  clients: number
  head: string
  /** Bytes that follow the head, `count` times. */
  unit?: string
  /** Number of units; `Infinity` for bytes without end. */
  count?: number
  /** Whether the clients read what they are sent. */
  canRead?: boolean
}

/** Connections of clients with one plan. They stay open until they are closed by either side. */
export class Crowd {
  private readonly sockets: Socket[] = []

  constructor (private readonly plan: CrowdPlan) {}

  /** Sends everything. Ends when all clients have sent all or were closed, or after `limitMs` milliseconds. */
  async send (limitMs: number): Promise<void> {
    const ended = Promise.all(Array.from({ length: this.plan.clients }, async () => { await this.sendOne() }))
    await Promise.race([ended, wait(limitMs, undefined, { ref: false })])
  }

  /** @returns number of connections that neither side has closed */
  countOpen (): number {
    return this.sockets.filter((socket) => !socket.destroyed).length
  }

  /** Closes all connections. */
  close (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  private async sendOne (): Promise<void> {
    const { address, head, unit = '', count = 0, canRead = true } = this.plan
    const [host, port] = address.split(':') as [string, string]
    const socket = connect({ host, port: Number(port) })
    this.sockets.push(socket)
    socket.on('error', () => { /* The close event follows. */ })
    if (canRead) socket.resume()
    else socket.pause()
    const closed = new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
    await Promise.race([closed, this.writeAll(socket, head, unit, count)])
  }

  private async writeAll (socket: Socket, head: string, unit: string, count: number): Promise<void> {
    await this.write(socket, head)
    const block = unit.repeat(unitsPerWrite)
    for (let left = count; left > 0 && !socket.destroyed; left -= unitsPerWrite) {
      await this.write(socket, left >= unitsPerWrite ? block : unit.repeat(left))
    }
  }

  /** A write that its peer does not read lasts until the connection closes. */
  private async write (socket: Socket, text: string): Promise<void> {
    await new Promise<void>((resolve) => { socket.write(text, () => { resolve() }) })
  }
}
