import { setTimeout as wait } from 'node:timers/promises'

const pollIntervalMs = 20

/**
 * Polls a condition until it holds.
 *
 * @param timeoutMs - maximum time to wait, in milliseconds
 * @returns whether it held before the timeout
 */
export const waitUntil = async (condition: () => Promise<boolean> | boolean, timeoutMs = 5000): Promise<boolean> => {
  const deadlineMs = performance.now() + timeoutMs
  while (performance.now() < deadlineMs) {
    if (await condition()) return true
    await wait(pollIntervalMs)
  }
  return false
}
