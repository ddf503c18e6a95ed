/**
 * A case of failure that is brought about on real processes.
 */
import { DemoFleet } from '../lib/demo-fleet.js'
import { waitForUrl } from '../lib/process-group.js'

const defaultGraceMs = 20_000

/** What came of a case. */
export interface FaultResult {
  /** Whether the promise was kept. */
  isKept: boolean
  /** What was seen, in a few words. */
  seen: string
  /** Time until service went on, in milliseconds, one value for each repetition. */
  recoveryMs: number[]
}

/** One case. */
export interface FaultCase {
  name: string
  /** What is done to the processes. */
  injectedFault: string
  /** Longest recovery that the target allows, in milliseconds; absent where recovery is not the matter. */
  recoveryBoundMs?: number
  run: (fleet: DemoFleet) => Promise<FaultResult>
}

/** Cases that share one fleet, in order. */
export interface FaultSuite {
  name: string
  createFleet: () => DemoFleet
  cases: FaultCase[]
}

/**
 * Creates a fleet whose processes have not started.
 *
 * @param copies - endpoints for each of three stages
 * @param workers - endpoints of the booking service
 * @param graceMs - grace period of a shutdown, in milliseconds
 */
export const createFaultFleet = (copies: number, workers: number, graceMs = defaultGraceMs): DemoFleet =>
  new DemoFleet({ entries: 2, copies, workers, engineStepMs: 3, bookingMs: 20, hasRelays: true, graceMs })

/** Ends a process of the program and starts it again, and waits until it is ready. */
export const restartProgram = async (fleet: DemoFleet, name: string): Promise<void> => {
  fleet.processes.signal(name, 'SIGCONT')
  fleet.processes.signal(name, 'SIGKILL')
  await startAgain(fleet, name)
}

/** Waits until a process of the program has ended, starts it again, and waits until it is ready. */
export const startAgain = async (fleet: DemoFleet, name: string): Promise<number | null> => {
  const code = await fleet.processes.waitForEnd(name)
  fleet.startProgram(name)
  await waitForUrl(`${fleet.find(name).adminUrl}/readyz`)
  return code
}
