import { setTimeout as wait } from 'node:timers/promises'

const pollMs = 20

/**
 * Waits until a condition holds.
 *
 * @param timeoutMs - longest time to wait, in milliseconds
 * @returns whether it held in time
 */
export const waitUntil = async (condition: () => Promise<boolean> | boolean, timeoutMs = 5000): Promise<boolean> => {
  const endMs = performance.now() + timeoutMs
  while (performance.now() < endMs) {
    if (await condition()) return true
    await wait(pollMs)
  }
  return false
}
