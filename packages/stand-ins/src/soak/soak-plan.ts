/**
 * Draws from a seed what is done to a system and when.
 */
import { SeededRandom } from '@clementineloft/kernel'
import type { RandomSource } from '@clementineloft/kernel'
import { AnswerFault } from '../emulator/emulated-call.js'
import { EmulatedStoreFault } from '../emulator/emulated-store.js'
import { RelayFault } from '../lib/relay.js'

/** Kinds of harm and of planned work. */
export const SoakAction = {
  /** SIGKILL, and a new start later. */
  killProcess: 'kill-process',
  /** SIGSTOP, and SIGCONT later. */
  pauseProcess: 'pause-process',
  /** SIGTERM, and a new start once it has ended. */
  stopProcess: 'stop-process',
  /** SIGHUP. */
  hangUpProcess: 'hang-up-process',
  /** A model endpoint ends, and starts empty later. */
  crashWorker: 'crash-worker',
  /** A model endpoint stops answering for a time. */
  silenceWorker: 'silence-worker',
  /** The link of an endpoint is harmed for a time. */
  harmLink: 'harm-link',
  /** A plain endpoint spoils its next answers. */
  spoilAnswers: 'spoil-answers',
  /** The store is harmed for a time. */
  harmStore: 'harm-store',
  /** The store refuses one process for a time. */
  refuseProcess: 'refuse-process',
  dropHistory: 'drop-history',
  /** A route is added to the configuration. */
  changeConfig: 'change-config',
  /** A plain endpoint leaves, and comes back later. */
  drainService: 'drain-service'
} as const
export type SoakAction = typeof SoakAction[keyof typeof SoakAction]

/** One thing that is done. */
export interface SoakStep {
  action: SoakAction
  /** Time after the start of traffic, in milliseconds. */
  atMs: number
  /** How long it lasts, in milliseconds. */
  forMs: number
  /** Which process or endpoint, as an index into those of its kind. */
  target: number
  /** Which variant, for links, stores and answers. */
  variant: string
}

/** Sizes of the system that steps choose from. */
export interface SoakSizes {
  processes: number
  workers: number
  services: number
}

/** Time over which steps begin, in milliseconds. */
export const soakSpanMs = 7000
const fewestSteps = 3
const mostSteps = 8
const shortestMs = 300
const longestMs = 3000

const variants: Partial<Record<SoakAction, readonly string[]>> = {
  [SoakAction.harmLink]: Object.values(RelayFault).filter((fault) => fault !== RelayFault.none),
  [SoakAction.harmStore]: Object.values(EmulatedStoreFault).filter((fault) => fault !== EmulatedStoreFault.none),
  [SoakAction.spoilAnswers]: Object.values(AnswerFault).filter((answerFault) => answerFault !== AnswerFault.none)
}

const pickNumber = (random: RandomSource, from: number, to: number): number => from + Math.floor(random.next() * (to - from + 1))

const pickOne = <T> (random: RandomSource, values: readonly T[]): T => values[pickNumber(random, 0, values.length - 1)] as T

const countTargets = (action: SoakAction, { processes, workers, services }: SoakSizes): number => {
  if (action.endsWith('-process')) return processes
  if (action === SoakAction.harmLink) return workers + services
  return action.endsWith('-worker') ? workers : services
}

/**
 * Draws a plan. Steps may overlap, hit the same target and come in series.
 *
 * @param seed - the same seed gives the same plan
 * @returns steps in order of their time
 */
export const planSoak = (seed: number, sizes: SoakSizes): SoakStep[] => {
  const random = new SeededRandom(seed)
  const steps = Array.from({ length: pickNumber(random, fewestSteps, mostSteps) }, () => {
    const action = pickOne(random, Object.values(SoakAction))
    return {
      action,
      atMs: pickNumber(random, 0, soakSpanMs),
      forMs: pickNumber(random, shortestMs, longestMs),
      target: pickNumber(random, 0, countTargets(action, sizes) - 1),
      variant: pickOne(random, variants[action] ?? [''])
    }
  })
  return steps.sort((one, other) => one.atMs - other.atMs)
}
