/**
 * Learns how long answers are, by route.
 *
 * Addresses callers whose stated length is right at the median and often far off: for memory the mean counts.
 */

/** Decaying sums over the answers of one route, in tokens. */
interface RouteLengths {
  answers: number
  stated: number
  actual: number
}

/** Factor on the sums of a route for each answer; the mean is over the last fifty or so. */
const decayFactor = 0.98
/** Number of answers from which a route's lengths are used. */
const minAnswers = 5
/** Maximum ratio of actual to stated lengths, and of stated to actual ones. */
const maxRatio = 10
/** Maximum number of routes to remember; the longest unused ones are dropped. */
const maxRoutes = 1000

/** Lengths of the answers that this entry has seen end. */
export class AnswerLengths {
  private readonly routes = new Map<string, RouteLengths>()
  private readonly all: RouteLengths = { answers: 0, stated: 0, actual: 0 }

  /**
   * Records a complete answer.
   *
   * @param stated - length that was stated for it, in tokens
   * @param actual - its length, in tokens
   */
  record (route: string, stated: number, actual: number): void {
    const lengths = this.routes.get(route) ?? { answers: 0, stated: 0, actual: 0 }
    addAnswer(lengths, stated, actual)
    addAnswer(this.all, stated, actual)
    this.routes.delete(route)
    this.routes.set(route, lengths)
    if (this.routes.size > maxRoutes) this.routes.delete(this.routes.keys().next().value as string)
  }

  /** @returns expected length of an answer of a route, in tokens: the stated one until the route is known */
  estimate (route: string, stated: number): number {
    const lengths = this.routes.get(route)
    if (lengths === undefined || lengths.answers < minAnswers || lengths.stated <= 0) return stated
    return stated * Math.min(maxRatio, Math.max(1 / maxRatio, lengths.actual / lengths.stated))
  }

  /** @returns mean length over all routes, in tokens; `undefined` until enough answers have ended */
  getMean (): number | undefined {
    return this.all.answers < minAnswers ? undefined : this.all.actual / this.all.answers
  }
}

const addAnswer = (lengths: RouteLengths, stated: number, actual: number): void => {
  lengths.answers = lengths.answers * decayFactor + 1
  lengths.stated = lengths.stated * decayFactor + Math.max(0, stated)
  lengths.actual = lengths.actual * decayFactor + Math.max(0, actual)
}
