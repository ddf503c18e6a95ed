/**
 * Draws from a seed which faults and planned operations a soak applies to a system, and when.
 */
import { SeededRandom } from '@clementineloft/kernel'
import type { RandomSource } from '@clementineloft/kernel'
import { AnswerFault } from '../emulator/emulated-call.js'
import { EmulatedStoreFault } from '../emulator/emulated-store.js'
import { RelayFault } from '../lib/relay.js'

/** Kinds of faults and of planned operations. */
export const SoakAction = {
  /** SIGKILL, and a restart after the duration. */
  killProcess: 'kill-process',
  /** SIGSTOP, and SIGCONT after the duration. */
  pauseProcess: 'pause-process',
  /** SIGTERM, and a restart after the process has exited and the duration has passed. */
  stopProcess: 'stop-process',
  /** SIGHUP. */
  hangUpProcess: 'hang-up-process',
  /** A model endpoint crashes, and restarts without layers after the duration. */
  crashWorker: 'crash-worker',
  /** A model endpoint stops answering for the duration. */
  silenceWorker: 'silence-worker',
  /** The network link of an endpoint is faulty for the duration. */
  injectLinkFault: 'harm-link',
  /** The next answers of a plain endpoint are faulty. */
  injectAnswerFaults: 'spoil-answers',
  /** The store is faulty for the duration. */
  injectStoreFault: 'harm-store',
  /** The store refuses one process for the duration. */
  refuseProcess: 'refuse-process',
  /** The store discards its change history and closes all watches. */
  dropHistory: 'drop-history',
  /** A route is added to the configuration. */
  changeConfig: 'change-config',
  /** A plain endpoint drains, and is ready again after the duration. */
  drainService: 'drain-service'
} as const
export type SoakAction = typeof SoakAction[keyof typeof SoakAction]

/** One action of a plan. */
export interface SoakStep {
  action: SoakAction
  /** Time after the start of traffic, in milliseconds. */
  atMs: number
  /** Duration, in milliseconds. */
  durationMs: number
  /** Process or endpoint, as an index into those of its kind. */
  target: number
  /** Kind of the fault, for links, stores and answers; empty for other actions. */
  variant: string
}

/** Numbers of targets in a system. */
export interface SoakTargetCounts {
  processes: number
  workers: number
  services: number
}

/** Period in which steps begin, in milliseconds. */
export const soakDurationMs = 7000
const minSteps = 3
const maxSteps = 8
const minStepMs = 300
const maxStepMs = 3000

const faultVariants: Partial<Record<SoakAction, readonly string[]>> = {
  [SoakAction.injectLinkFault]: Object.values(RelayFault).filter((fault) => fault !== RelayFault.none),
  [SoakAction.injectStoreFault]: Object.values(EmulatedStoreFault).filter((fault) => fault !== EmulatedStoreFault.none),
  [SoakAction.injectAnswerFaults]: Object.values(AnswerFault).filter((answerFault) => answerFault !== AnswerFault.none)
}

const pickInteger = (random: RandomSource, from: number, to: number): number => from + Math.floor(random.next() * (to - from + 1))

const pickOne = <T> (random: RandomSource, values: readonly T[]): T => values[pickInteger(random, 0, values.length - 1)] as T

const countTargets = (action: SoakAction, { processes, workers, services }: SoakTargetCounts): number => {
  if (action.endsWith('-process')) return processes
  if (action === SoakAction.injectLinkFault) return workers + services
  return action.endsWith('-worker') ? workers : services
}

/**
 * Draws a plan. Steps may overlap and may have the same target, at the same time or in succession.
 *
 * @param seed - determines the plan, together with the numbers of targets
 * @returns steps in order of their start
 */
export const planSoak = (seed: number, targetCounts: SoakTargetCounts): SoakStep[] => {
  const random = new SeededRandom(seed)
  const steps = Array.from({ length: pickInteger(random, minSteps, maxSteps) }, () => {
    const action = pickOne(random, Object.values(SoakAction))
    return {
      action,
      atMs: pickInteger(random, 0, soakDurationMs),
      durationMs: pickInteger(random, minStepMs, maxStepMs),
      target: pickInteger(random, 0, countTargets(action, targetCounts) - 1),
      variant: pickOne(random, faultVariants[action] ?? [''])
    }
  })
  return steps.sort((one, other) => one.atMs - other.atMs)
}
