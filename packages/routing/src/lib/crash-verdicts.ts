/**
 * Decides which traits of requests explain a set of crashes.
 *
 * When an endpoint crashes, each request there is a suspect with all its traits, although one of them is the cause. The
 * trait that was at the most crashes explains them; what the other suspects share with these crashes is no longer held
 * against them.
 */
import type { RequestCrash } from './crash-notice.js'

/** Number of crashes with separate causes from which a trait is quarantined. */
const minQuarantineCrashes = 2
/** Tolerance on the order of a crash and a repeat, in milliseconds: a repeat follows at once, and notices carry rounded ages. */
const orderToleranceMs = 5
/** Maximum number of suspected traits that are compared, the latest ones; more would need a crash each twice. */
const maxSuspects = 500

/** A trait that was at crashes and is not cleared of them. */
export interface SuspectedTrait {
  trait: string
  crashes: readonly RequestCrash[]
  /** Number of suspected traits that all its requests had; the more, the fewer other requests a quarantine refuses. */
  companions: number
}

interface Score {
  suspect: SuspectedTrait
  /** Number of crashes that no stronger suspect explains, and how many of them have separate causes. */
  crashes: number
  separateCrashes: number
  /** Number of crashes at which the endpoint was beginning to answer a request with the trait. */
  beginningCrashes: number
}

/**
 * @param commonCauseMs - time within which crashes of several endpoints may have a common cause, in milliseconds. A crash
 *   under a request that was sent after the previous crash has a cause of its own
 * @returns number of crashes with separate causes
 */
export const countSeparateCrashes = (crashes: readonly RequestCrash[], commonCauseMs: number): number => {
  let count = 0
  let countedMs = -Infinity
  for (const { sentMs, crashedMs } of [...crashes].sort((one, other) => one.crashedMs - other.crashedMs)) {
    const hasCommonCause = sentMs < countedMs - orderToleranceMs && crashedMs < countedMs + commonCauseMs
    if (hasCommonCause) continue
    countedMs = crashedMs
    count++
  }
  return count
}

const computeScore = (suspect: SuspectedTrait, explained: ReadonlySet<string>, commonCauseMs: number): Score => {
  const crashes = suspect.crashes.filter(({ endpoint }) => !explained.has(endpoint))
  const beginningCrashes = crashes.filter(({ isBeginning }) => isBeginning).length
  return { suspect, crashes: crashes.length, separateCrashes: countSeparateCrashes(crashes, commonCauseMs), beginningCrashes }
}

/** Orders the trait that explains more first; of equals, the one that refuses fewer requests. */
const compareScores = (one: Score, other: Score): number =>
  other.crashes - one.crashes || other.beginningCrashes - one.beginningCrashes || other.suspect.companions - one.suspect.companions

/**
 * @param suspects - traits with the crashes of which nothing has cleared them, the earliest first
 * @returns the traits that explain at least {@link minQuarantineCrashes} crashes which no stronger suspect explains; traits
 *   that explain them equally well are all returned
 */
export const findCrashingTraits = (suspects: readonly SuspectedTrait[], commonCauseMs: number): string[] => {
  const explained = new Set<string>()
  const found: string[] = []
  let remaining = suspects.slice(-maxSuspects)
  while (remaining.length > 0) {
    const scores = remaining.map((suspect) => computeScore(suspect, explained, commonCauseMs))
      .filter(({ separateCrashes }) => separateCrashes >= minQuarantineCrashes)
      .sort(compareScores)
    const best = scores.filter((score) => compareScores(score, scores[0] as Score) === 0).map(({ suspect }) => suspect)
    for (const { trait, crashes } of best) {
      found.push(trait)
      for (const { endpoint } of crashes) explained.add(endpoint)
    }
    remaining = scores.slice(best.length).map(({ suspect }) => suspect)
  }
  return found
}
