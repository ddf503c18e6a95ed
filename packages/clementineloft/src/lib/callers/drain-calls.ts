/**
 * Stops a call server so that every request either gets an answer or has not been passed on.
 */
import type { Clock } from '@clementineloft/kernel'
import type { CallServer } from './call-server.js'
import type { CallHead } from './caller-protocol.js'

/**
 * Time for which a leaving instance still takes calls, in milliseconds: the platform probes readiness twice, a second
 * apart, before it stops sending them.
 */
const acceptWhileLeavingMs = 2500
/** Maximum of that time as a fraction of the limit, so that calls taken last have time to end. */
const maxAcceptRatio = 0.5
/** Fraction of the limit after which calls are ended even if they are still running. */
const drainRatio = 0.9
/** Maximum fraction of the limit for writing the last answers. */
const writeRatio = 0.05
const pollIntervalMs = 50

/** What is drained, and by when. */
export interface Drain<Call extends CallHead> {
  server: CallServer<Call>
  clock: Clock
  /** Time until the process is killed, in milliseconds. */
  limitMs: number
  /** Whether the server still accepts connections, since their senders learn only later that the instance leaves. */
  acceptsConnections: boolean
  /** Ends the calls that are still running; the server answers those that this leaves without an answer. */
  endCalls: () => void
}

/**
 * Takes calls for a while, then refuses new ones as not run, and lets the running ones finish. What is left at the end is
 * answered, or cut off if its answer has begun; the answers are written before this returns.
 *
 * @returns number of requests that were still open when they were ended
 */
export const drainCalls = async <Call extends CallHead>({ server, clock, limitMs, acceptsConnections, endCalls }: Drain<Call>): Promise<number> => {
  const startMs = clock.now()
  const waitUntilDrained = async (untilMs: number, canReturn: () => boolean): Promise<void> => {
    while (clock.now() < untilMs && !canReturn()) {
      server.closeIdle()
      await clock.wait(Math.min(pollIntervalMs, untilMs - clock.now()))
    }
  }
  const isDrained = (): boolean => server.countOpen() === 0
  const acceptMs = Math.min(acceptWhileLeavingMs, limitMs * maxAcceptRatio)
  if (acceptsConnections) await clock.wait(acceptMs)
  else await waitUntilDrained(startMs + acceptMs, isDrained)
  server.refuseNewCalls()
  await waitUntilDrained(startMs + limitMs * drainRatio, isDrained)
  const left = server.countOpen()
  endCalls()
  server.endOpen()
  await waitUntilDrained(clock.now() + limitMs * writeRatio, isDrained)
  return left
}
