/**
 * Types and helpers of failure cases, which inject a fault into real processes and check a guarantee.
 */
import { DemoFleet } from '../lib/demo-fleet.js'
import { waitForUrl } from '../lib/process-group.js'

const defaultGraceMs = 20_000

/** Result of a case. */
export interface FaultResult {
  /** Whether the guarantee was met. */
  isGuaranteeMet: boolean
  /** Short description of the observed behaviour. */
  observation: string
  /** Time until service resumed, in milliseconds, one value for each repetition. */
  recoveryMs: number[]
}

/** One case. */
export interface FaultCase {
  name: string
  /** Description of the injected fault. */
  injectedFault: string
  /** Maximum allowed recovery time, in milliseconds; absent if the case does not measure recovery. */
  maxRecoveryMs?: number
  run: (fleet: DemoFleet) => Promise<FaultResult>
}

/** Cases that run in order on one shared fleet. */
export interface FaultSuite {
  name: string
  createFleet: () => DemoFleet
  cases: FaultCase[]
}

/**
 * Creates a fleet whose processes have not started.
 *
 * @param endpointsPerStage - endpoints for each of three stages
 * @param workers - endpoints of the booking service
 * @param graceMs - grace period of a shutdown, in milliseconds
 */
export const createFaultFleet = (endpointsPerStage: number, workers: number, graceMs = defaultGraceMs): DemoFleet =>
  new DemoFleet({ entries: 2, endpointsPerStage, workers, engineStepMs: 3, bookingMs: 20, hasRelays: true, graceMs })

/** Kills and restarts a process of the program, and waits until it is ready. A stopped process is continued first. */
export const restartProgram = async (fleet: DemoFleet, name: string): Promise<void> => {
  fleet.processes.signal(name, 'SIGCONT')
  fleet.processes.signal(name, 'SIGKILL')
  await restartAfterExit(fleet, name)
}

/**
 * Waits until a process of the program has exited, restarts it, and waits until it is ready.
 *
 * @returns exit code of the process, or `null` if a signal ended it
 */
export const restartAfterExit = async (fleet: DemoFleet, name: string): Promise<number | null> => {
  const code = await fleet.processes.waitForExit(name)
  fleet.startProgram(name)
  await waitForUrl(`${fleet.find(name).adminUrl}/readyz`)
  return code
}
