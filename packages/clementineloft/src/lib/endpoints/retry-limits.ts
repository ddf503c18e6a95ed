/**
 * Limits the retries of an entry.
 */
import type { Clock } from '@clementineloft/kernel'
import { RetryBudget } from '@clementineloft/routing'

const retriesPerSuccess = 0.2
const retriesPerSecond = 1
const retryBudgetCapacity = 50

/** Creates the retry budget of one kind of requests at an entry. */
export const createRetryBudget = (clock: Clock): RetryBudget =>
  new RetryBudget(retriesPerSuccess, retriesPerSecond, retryBudgetCapacity, clock)
