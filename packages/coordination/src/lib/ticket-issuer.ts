/**
 * Tickets: idempotency keys that name the only process that may run their requests.
 *
 * A ticket depends neither on the store nor on synchronized clocks: the process that issued it records whether its
 * request ran, and no other process runs it. After that process has ended, the outcome of its tickets is unknown.
 */
import type { Clock } from '@clementineloft/kernel'
import { createIdentifier } from '@clementineloft/kernel'

const ticketPrefix = 'ticket'

/** The contents of a ticket. */
export interface Ticket {
  endpoint: string
  incarnation: string
  /** Time of issue on the monotonic clock of the issuing process, in milliseconds. */
  issuedAtMs: number
  serial: string
}

/**
 * @param ticket - contents of the ticket
 * @returns the idempotency key to return to a caller
 */
export const formatTicket = (ticket: Ticket): string =>
  [ticketPrefix, ticket.endpoint, ticket.incarnation, Math.floor(ticket.issuedAtMs), ticket.serial].join(':')

/**
 * @param key - an idempotency key
 * @returns the contents of the ticket, or `undefined` if the key is not a ticket
 */
export const parseTicket = (key: string): Ticket | undefined => {
  const match = /^ticket:([^:]+):([\w-]+):(\d+):([\w-]+)$/.exec(key)
  if (match === null) return undefined
  const [, endpoint, incarnation, issuedAtMs, serial] = match as unknown as [string, string, string, string, string]
  return { endpoint, incarnation, issuedAtMs: Number(issuedAtMs), serial }
}

/** Issues tickets that only this process may run. */
export class TicketIssuer {
  /**
   * @param endpoint - name of the endpoint
   * @param incarnation - identity of this process
   * @param retentionMs - validity of a ticket, in milliseconds
   */
  constructor (
    private readonly endpoint: string,
    private readonly incarnation: string,
    private readonly clock: Clock,
    private readonly retentionMs: number
  ) {}

  /** @returns a new ticket */
  issue (): string {
    const { endpoint, incarnation } = this
    return formatTicket({ endpoint, incarnation, issuedAtMs: this.clock.now(), serial: createIdentifier() })
  }

  /** @returns whether the ticket names this process and has not expired */
  isValid (ticket: Ticket): boolean {
    const ageMs = this.clock.now() - ticket.issuedAtMs
    return ticket.incarnation === this.incarnation && ageMs >= -1 && ageMs < this.retentionMs
  }
}
