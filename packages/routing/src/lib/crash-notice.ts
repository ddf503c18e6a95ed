/**
 * What processes tell each other about crashes.
 */

/** A crash of one endpoint while it had a request. Times are milliseconds of the clock. */
export interface RequestCrash {
  /** Identity of the incarnation that crashed. */
  endpoint: string
  /** When the request was sent there. */
  sentMs: number
  crashedMs: number
  /** Whether the endpoint was beginning to answer the request: some bytes, and no complete event. */
  isBeginning: boolean
}

/** A {@link RequestCrash} as told to other processes: in ages, since the clocks of processes differ. */
export interface CrashAge {
  endpoint: string
  /** Time since the crash, in milliseconds. */
  ageMs: number
  /** Time from sending the request to the crash, in milliseconds. */
  heldMs: number
  isBeginning: boolean
}

/** All that a process knows of one trait. */
export interface CrashNotice {
  trait: string
  crashes: CrashAge[]
  /** Traits that all requests with this one had, among those that were at a crash; itself included. */
  companions: string[]
  /** Time since a request with the trait was last answered, in milliseconds; absent if none was. */
  answeredAgeMs?: number
}
