/**
 * Tickets: idempotency keys that name the one process that may ever run them.
 *
 * A ticket needs neither the store nor agreement on time: the process that issued it remembers whether it ran, and no
 * other process runs it. After that process has ended, nobody can tell whether its tickets ran.
 */
import type { Clock } from '@clementineloft/kernel'
import { createIdentifier } from '@clementineloft/kernel'

const ticketPrefix = 'ticket'

/** What a ticket says. */
export interface Ticket {
  endpoint: string
  incarnation: string
  /** Milliseconds on the issuing process's own clock. */
  issuedAtMs: number
  serial: string
}

/**
 * @param ticket - what the ticket says
 * @returns the key to hand to a caller
 */
export const formatTicket = (ticket: Ticket): string =>
  [ticketPrefix, ticket.endpoint, ticket.incarnation, Math.floor(ticket.issuedAtMs), ticket.serial].join(':')

/**
 * @param key - an idempotency key
 * @returns what it says, or `undefined` if it is not a ticket
 */
export const parseTicket = (key: string): Ticket | undefined => {
  const match = /^ticket:([^:]+):([\w-]+):(\d+):([\w-]+)$/.exec(key)
  if (match === null) return undefined
  const [, endpoint, incarnation, issuedAtMs, serial] = match as unknown as [string, string, string, string, string]
  return { endpoint, incarnation, issuedAtMs: Number(issuedAtMs), serial }
}

/** Issues tickets that this process alone may run. */
export class TicketIssuer {
  /**
   * @param endpoint - name of the endpoint
   * @param incarnation - identity of this process
   * @param retentionMs - how long a ticket is valid, in milliseconds
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
