/**
 * A case of failure that is brought about on real processes.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { DemoFleet } from '../lib/demo-fleet.js'
import { programCommand, standInCommand } from '../lib/program-paths.js'

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
  done: string
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
export const createFaultFleet = (copies: number, workers: number, graceMs?: number): DemoFleet => new DemoFleet({
  program: programCommand,
  standIn: standInCommand,
  folder: mkdtempSync(join(tmpdir(), 'clementineloft-faults-')),
  entries: 2,
  stages: [[0, 3], [4, 7], [8, 11]],
  copies,
  workers,
  engineStepMs: 3,
  bookingMs: 20,
  ...(graceMs === undefined ? {} : { graceMs })
})

/** Waits in real time. */
export const waitMs = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Waits until a condition holds. */
export const waitUntil = async (condition: () => Promise<boolean> | boolean, timeoutMs: number): Promise<boolean> => {
  const endMs = performance.now() + timeoutMs
  while (performance.now() < endMs) {
    if (await condition()) return true
    await waitMs(20)
  }
  return false
}
