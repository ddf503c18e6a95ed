/**
 * A booking service that runs as a process. Its ledger lists every booking that it received, and is the reference for
 * checking which calls were executed.
 */
import type { Server } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { startStandInServer } from './stand-in-server.js'
import type { StandInReply, StandInRequest } from './stand-in-server.js'

/** A booking in the ledger. */
export interface LedgerEntry {
  /** Identity that the system assigned to the call. */
  request: string
  key: string
  body: string
}

/** Accepts bookings, and serves look-ups and the ledger. */
export class BookingServer {
  private readonly ledger: LedgerEntry[] = []

  /** @param bookingMs - processing time of a booking, in milliseconds */
  constructor (private readonly bookingMs: number) {}

  /** @param port - port to listen on */
  async start (port: number): Promise<Server> {
    return await startStandInServer(port, async (request) => await this.handle(request))
  }

  private async handle (request: StandInRequest): Promise<StandInReply> {
    const { method, url, headers, body } = request
    if (url.pathname === '/ledger') return { status: 200, body: this.ledger }
    if (method === 'GET') return { status: 200, body: { bookings: this.ledger.length } }
    const key = String(headers['idempotency-key'] ?? '')
    this.ledger.push({ request: String(headers['x-request-id'] ?? ''), key, body })
    const number = this.ledger.length
    if (this.bookingMs > 0) await wait(this.bookingMs)
    return { status: 201, body: { number } }
  }
}
